package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// foreign: another writer leaves entries of legal size beside those of the replicas. At the end all processes are killed and start again.
func foreign(rec *record, trouble bool) int {
	const (
		hosts      = 4
		entries    = 18
		entryBytes = 1_000_000 // of 1,048,576 that an object may have
		down       = 800 * time.Millisecond
		recovery   = 12 * time.Second
		judged     = 8 * time.Second
	)

	s := newStore()
	s.put("config", "main", manifest(false))

	zones := []string{"waw-a", "lodz-1"}

	for i := range 4 {
		r := newReplica(s, fmt.Sprintf("i-%d", i), "app", zones[i%2], 15*time.Millisecond)
		r.register()

		go r.live(func() bool { return true })
	}

	top, tables := splitTop(smallBounds)
	f := newFleet(rec, tables+fmt.Sprintf(platformTable, s.address))
	f.top = top

	defer f.close()

	for i := range hosts {
		f.add(fmt.Sprintf("front-%s-%d", zones[i%2], i/2+1), zones[i%2])
	}

	f.startAll()

	if !f.awaitReady(20 * time.Second) {
		rec.say("the machines do not become ready")

		return exitNotRun
	}

	var (
		mu   sync.Mutex
		all  []sent
		stop = make(chan struct{})
		wait sync.WaitGroup
	)

	for _, m := range f.machines {
		wait.Go(func() {
			c := &http.Client{Timeout: 2 * time.Second}

			for {
				select {
				case <-stop:
					return
				case <-time.After(100 * time.Millisecond):
				}

				_, at, status := send(c, m, time.Second)

				mu.Lock()
				all = append(all, sent{m.node, at, status})
				mu.Unlock()
			}
		})
	}

	time.Sleep(5 * time.Second)

	if trouble {
		rec.say("another writer creates %d entries of %d bytes, which name no replica", entries, entryBytes)

		for i := range entries {
			s.put("servers", fmt.Sprintf("other-%02d", i), map[string]any{"blob": strings.Repeat("x", entryBytes)})
			time.Sleep(100 * time.Millisecond)
		}
	}

	time.Sleep(3 * time.Second)

	killed := time.Now()

	rec.say("all processes are killed")

	for _, m := range f.machines {
		m.signal(syscall.SIGKILL)
	}

	for _, m := range f.machines {
		<-m.ended()
	}

	time.Sleep(down)

	for _, m := range f.machines {
		m.start()
	}

	back := time.Now()

	time.Sleep(recovery + judged)
	close(stop)
	wait.Wait()

	share := func(from, until time.Time) (float64, map[int]int) {
		statuses, n := map[int]int{}, 0

		for _, q := range all {
			if q.at.After(from) && q.at.Before(until) {
				n++
				statuses[q.status]++
			}
		}

		return float64(statuses[http.StatusOK]) / float64(max(n, 1)), statuses
	}

	before, statuses := share(rec.began, killed)
	rec.say("before the final fault: %.3f served, answers by status, 0 for none: %v", before, statuses)

	after, statuses := share(back.Add(recovery), time.Now())
	rec.say("later than %v after the machines are back: %.3f served, by status %v", recovery, after, statuses)

	for _, m := range f.machines {
		rec.say("%s is ready: %t", m.node, m.isReady())
	}

	switch {
	case before < 0.25:
		return exitNotRun
	case after < 0.25:
		rec.say("BROKEN RECOVER")

		return exitBroken
	}

	return exitHeld
}
