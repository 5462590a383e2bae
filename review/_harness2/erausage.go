package main

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"
)

// eraUsage: a machine stands still while a window of usage ends, so that its last counts come after the report. Then the store is away for a
// moment and comes back from a copy of before the report was decided.
func eraUsage(rec *record, trouble bool) int {
	const (
		window   = 5 * time.Second
		interval = 15 * time.Millisecond // between two requests to one machine
		frozen   = 3500 * time.Millisecond
		away     = time.Second
	)

	s := newStore()
	cloud := newControl(rec)

	var up atomic.Bool

	up.Store(true)
	s.put("config", "main", manifest(true))

	zones := []string{"pnw-a", "pnw-b", "pnw-c"}

	for i, z := range zones {
		r := newReplica(s, fmt.Sprintf("i-%d", i), "app", z, 5*time.Millisecond)
		r.register()

		go r.live(up.Load)
	}

	top, tables := splitTop(dutyBounds)
	f := newFleet(rec, tables+fmt.Sprintf(dutyTables, s.address, cloud.address))
	f.top = top

	defer f.close()

	for _, z := range zones {
		f.add("front-"+z+"-1", z)
		f.add("front-"+z+"-2", z)
	}

	f.startAll()

	if !f.awaitReady(15 * time.Second) {
		rec.say("the machines do not become ready")

		return exitNotRun
	}

	stop := make(chan struct{})
	defer close(stop)

	for _, m := range f.machines {
		go func() {
			c := &http.Client{Timeout: 8 * time.Second}

			for {
				select {
				case <-stop:
					return
				case <-time.After(interval):
					send(c, m, time.Second)
				}
			}
		}()
	}

	last, ok := cloud.awaitCall(25*time.Second, 0, func(call) bool { return true })
	if !ok {
		rec.say("no usage report comes")

		return exitNotRun
	}

	for round := range 3 {
		var still *machine

		for _, m := range f.machines {
			if m.node != last.node {
				still = m
			}
		}

		// The window after the next one that ends.
		end := time.Now().Truncate(window).Add(2 * window)

		time.Sleep(time.Until(end.Add(-100 * time.Millisecond)))
		rec.say("round %d: %s stands still for %v, from just before the end of window %d", round+1, still.node, frozen, end.Unix()/int64(window.Seconds())-1)
		still.signal(syscall.SIGSTOP)

		time.Sleep(time.Until(end.Add(time.Second)))

		b := s.copyNow()

		time.Sleep(time.Until(end.Add(frozen - 100*time.Millisecond)))
		still.signal(syscall.SIGCONT)
		time.Sleep(500 * time.Millisecond)

		if trouble {
			rec.say("drill: the store is away for %v and comes back from a copy that is %.1f s old", away, time.Since(b.at).Seconds())
			up.Store(false)
			s.away()
			time.Sleep(away)
			s.restore(b)
			s.back()
			up.Store(true)
			s.put("config", "main", manifest(true))
		}

		n := len(cloud.all())
		settled := time.Now().Add(window)

		if last, ok = cloud.awaitCall(20*time.Second, n, func(k call) bool { return k.at.After(settled) }); !ok {
			rec.say("no call after the drill")

			return exitNotRun
		}

		time.Sleep(500 * time.Millisecond)

		if code := judgeCalls(rec, cloud.all()); code != exitHeld {
			return code
		}
	}

	return exitHeld
}
