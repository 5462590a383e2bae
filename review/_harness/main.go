// Command review-cases runs the cases of the review that are scripts, each against processes of the entry host.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// cases returns whether the rule of a case was broken, by the name of the case. Without trouble, a case does the same without the
// disruption.
var cases = map[string]func(r *record, dir string, trouble bool) (broken bool, err error){
	"uploads":  uploadCase,
	"path":     pathCase,
	"settings": settingsCase,
}

func main() { os.Exit(runCase()) }

func runCase() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-cases CASE DIR")

		return exitNotRun
	}

	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)

		return exitNotRun
	}

	defer r.close()

	broken, err := cases[os.Args[1]](r, os.Args[2], os.Getenv("TROUBLE") != "0")

	switch {
	case err != nil:
		r.sayf("the case could not run: %v", err)

		return exitNotRun
	case broken:
		r.sayf("the rule was broken")

		return exitBroken
	}

	r.sayf("the rule held")

	return exitHeld
}
