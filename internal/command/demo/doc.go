// Package demo holds the command that runs the whole system in one process and shows each kind
// of request.
package demo
