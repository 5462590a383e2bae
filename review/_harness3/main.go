// Command harness3 plays the cases of the third review. It starts entry hosts as processes, with stand-ins of the platform's store and
// of replicas in this process, sends requests, and checks one rule.
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"fmt"
	"os"
	"runtime"
	"time"
)

// mostTime bounds the time of a case.
const mostTime = 115 * time.Second

func main() {
	runtime.LockOSThread() // processes end with the thread that has started them

	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: harness3 CASE RECORD")
		os.Exit(2)
	}

	play, ok := map[string]func(*world) verdict{"restored-list": restoredList, "split-streams": splitStreams, "silent-engine": silentEngine, "release": release, "crash-part": crashPart}[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", os.Args[1])
		os.Exit(2)
	}

	w, err := newWorld(os.Args[2], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}

	// The processes end with this one.
	time.AfterFunc(mostTime, func() {
		fmt.Println("not run: it takes too long")
		os.Exit(2)
	})

	v := run(w, play)
	w.note("result: %s", v.text)
	w.close()
	fmt.Println(v.text)
	os.Exit(v.code)
}

// verdict is the result of a case.
type verdict struct {
	code int
	text string
}

func held(format string, args ...any) verdict {
	return verdict{0, "held: " + fmt.Sprintf(format, args...)}
}
func broken(format string, args ...any) verdict {
	return verdict{1, "broken: " + fmt.Sprintf(format, args...)}
}
func unrun(format string, args ...any) verdict {
	return verdict{2, "not run: " + fmt.Sprintf(format, args...)}
}

// run plays a case; a failure of the stand-ins is a case that could not run.
func run(w *world, play func(*world) verdict) (v verdict) {
	defer func() {
		if r := recover(); r != nil {
			v = unrun("%v", r)
		}
	}()

	return play(w)
}
