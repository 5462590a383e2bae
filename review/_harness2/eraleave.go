package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// eraLeave: a replica leaves without reporting that it drains: its entry is removed, and its answers say that it leaves. Then the store is away
// for a moment and comes back from a copy of some seconds before, in which the entry is still there. The replica removes it again.
func eraLeave(rec *record, trouble bool) int {
	const (
		hosts    = 7
		interval = 40 * time.Millisecond   // between two requests to one machine
		before   = 2 * time.Second         // from the copy to the removal
		notice   = 500 * time.Millisecond  // from the first answer that says so to the removal of the entry
		after    = 1500 * time.Millisecond // from the removal to the drill
		away     = time.Second
		drain    = 2 * time.Second
	)

	s := newStore()

	var up atomic.Bool

	up.Store(true)
	s.put("config", "main", manifest(false))

	zones := []string{"waw-a", "lodz-1"}

	var replicas []*replica

	for i := range 4 {
		r := newReplica(s, fmt.Sprintf("i-%d", i), "app", zones[i%2], 60*time.Millisecond)
		r.register()
		replicas = append(replicas, r)

		go r.live(up.Load)
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
		mu     sync.Mutex
		all    = map[string]sent{}
		passed = map[string]time.Time{} // when a machine first passed on an answer that says that its replica leaves
		stop   = make(chan struct{})
		wait   sync.WaitGroup
	)

	for _, m := range f.machines {
		wait.Go(func() {
			c := &http.Client{Timeout: 2 * time.Second}

			for {
				select {
				case <-stop:
					return
				case <-time.After(interval):
				}

				id, at, status, leaving := sendNoting(c, m, time.Second)

				mu.Lock()
				all[id] = sent{m.node, at, status}

				if _, known := passed[m.node]; leaving && !known {
					passed[m.node] = time.Now()
					rec.add("%s has passed on an answer of a replica that leaves", m.node)
				}
				mu.Unlock()
			}
		})
	}

	time.Sleep(6 * time.Second)

	b := s.copyNow()

	time.Sleep(before)

	r := replicas[0]
	r.sayLeaving()
	rec.say("answers of %s say that it leaves", r.name)
	time.Sleep(notice)
	r.leave()
	rec.say("the entry of %s is removed", r.name)
	time.Sleep(after)

	if trouble {
		rec.say("drill: the store is away for %v and comes back from a copy that is %.1f s old", away, time.Since(b.at).Seconds())
		up.Store(false)
		s.away()
		time.Sleep(away)
		s.restore(b)
		s.back()
		up.Store(true)
		s.put("config", "main", manifest(false))
	}

	time.Sleep(3 * time.Second)
	close(stop)
	wait.Wait()

	late, byNode, statuses := 0, map[string]int{}, map[int]int{}

	for _, q := range all {
		statuses[q.status]++
	}

	for _, a := range r.reached() {
		q := all[a.id]

		since, known := passed[q.node]
		if known && q.at.After(since.Add(drain)) {
			late++
			byNode[q.node]++

			rec.addAt(a.at, "request %s, sent to %s at %.3f s, reaches %s", a.id, q.node, rec.since(q.at), r.name)
		}
	}

	rec.say("answers by status, 0 for none: %v; %d of %d machines have passed on that %s leaves", statuses, len(passed), hosts, r.name)

	if len(passed) < hosts/2 {
		return exitNotRun
	}

	if late > 0 {
		rec.say("BROKEN DRAIN: %d requests reached %s that clients sent later than %v after the machine had passed on an answer with Server-Leaving: %v", late, r.name, drain, byNode)

		return exitBroken
	}

	return exitHeld
}
