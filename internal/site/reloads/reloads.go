// Package reloads receives SIGHUP, which asks a program to read its settings again.
//
// The signal ends a program that has not registered it yet, so this package does that while packages are initialized. It imports
// little, so that it comes before most of them.
package reloads

import (
	"os"
	"os/signal"
	"syscall"
)

var signals = register()

func register() <-chan os.Signal {
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGHUP)

	return c
}

// Signals returns a channel that receives SIGHUP, also one that arrived before main. Signals that arrive before the first of
// them is received count as one.
func Signals() <-chan os.Signal { return signals }
