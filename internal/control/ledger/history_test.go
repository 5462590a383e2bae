package ledger_test

import (
	"time"

	"pgregory.net/rapid"

	standin "github.com/dotterelflow/dotterelflow/internal/standin/platform"
)

// ending is how a request ends whose claim is held.
type ending int

const (
	finishes ending = iota
	refusedByTarget
	diesBeforeDispatch
	diesBeforeResult
)

// step is one event of a random history, which happens after wait.
type step struct {
	wait    time.Duration
	host    int
	faults  *standin.Faults // if set, the platform shows host these faults
	kill    bool            // if set, host is replaced
	key     int             // otherwise, a request with this key is sent to host
	via     int             // claim through this host first, unless via equals host
	ending  ending
	pause   time.Duration // between the claim and the dispatch
	work    time.Duration // service time of the target
	patient bool
}

var drawMillis = func(t *rapid.T, name string, limit int) time.Duration {
	return time.Duration(rapid.IntRange(0, limit).Draw(t, name)) * time.Millisecond
}

var drawFaults = rapid.Custom(func(t *rapid.T) standin.Faults {
	f := standin.Faults{}

	switch rapid.IntRange(0, 5).Draw(t, "fault") {
	case 0:
		f.Down = true
	case 1:
		f.LoseAnswer = true
	case 2:
		f.LoseAnswer = true
		f.LateWrite = time.Millisecond + drawMillis(t, "late", 5000)
	case 3:
		f.Delay = drawMillis(t, "delay", 3000)
	}

	return f
})

var drawStep = rapid.Custom(func(t *rapid.T) step {
	s := step{
		wait:    drawMillis(t, "wait", 1500),
		host:    rapid.IntRange(0, hostCount-1).Draw(t, "host"),
		key:     rapid.IntRange(0, keyCount-1).Draw(t, "key"),
		via:     rapid.IntRange(0, hostCount-1).Draw(t, "via"),
		ending:  ending(rapid.IntRange(0, 3).Draw(t, "life")),
		pause:   drawMillis(t, "pause", 4000),
		work:    drawMillis(t, "work", 1000),
		patient: rapid.Bool().Draw(t, "patient"),
	}

	switch rapid.IntRange(0, 9).Draw(t, "event") {
	case 0, 1, 2:
		f := drawFaults.Draw(t, "faults")
		s.faults = &f
	case 3:
		s.kill = true
	}

	return s
})
