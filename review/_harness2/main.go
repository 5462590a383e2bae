// Command review2 plays one case of the second review: stand-ins of the platform, clients and replicas around processes of the
// deploy file's program, on loopback. It exits with 1 if a rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"time"
)

func check(err error) {
	if err != nil {
		panic(err)
	}
}

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2

	caseLimit = 115 * time.Second
)

var cases = map[string]func(rec *record, trouble bool) int{
	"era-fence": eraFence,
	"era-drain": eraDrain,
	"crowd":     crowd,
	"era-usage": eraUsage,
	"era-leave": eraLeave,
	"foreign":   foreign,
	"readers":   readers,
	"take-up":   takeUp,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: review2 CASE RECORD-FILE, from the root of the repository")
		os.Exit(exitNotRun)
	}

	defer func() {
		if p := recover(); p != nil {
			fmt.Println("the case could not run:", p)
			os.Exit(exitNotRun)
		}
	}()

	time.AfterFunc(caseLimit, func() {
		fmt.Println("the case took too long")
		os.Exit(exitNotRun) // the processes end with this one
	})

	rec := newRecord(os.Args[2])
	trouble := os.Getenv("TROUBLE") != "0"
	rec.say("case %s, trouble %t", os.Args[1], trouble)

	code := cases[os.Args[1]](rec, trouble)
	rec.say("exit %d", code)
	os.Exit(code)
}
