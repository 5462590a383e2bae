package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// readers: the machines that read the store for the others are partitioned from it in silence, and a replica leaves.
func readers(rec *record, trouble bool) int {
	const (
		hosts    = 30
		interval = 500 * time.Millisecond // between two requests to one machine, as on the sheets with 85 and 89 machines
		most     = 0.35                   // share of the machines that are cut off
		cutFor   = 6 * time.Second
		drain    = 2 * time.Second
	)

	s := newStore()
	s.put("config", "main", manifest(false))

	zones := []string{"waw-a", "lodz-1"}

	var app []*replica

	for i := range 4 {
		r := newReplica(s, fmt.Sprintf("i-%d", i), "app", zones[i%2], 15*time.Millisecond)
		r.register()
		app = append(app, r)

		go r.live(func() bool { return true })
	}

	top, tables := splitTop(smallBounds)
	f := newFleet(rec, tables+fmt.Sprintf(platformTable, storeOfMachine))
	f.top = top

	defer f.close()

	paths := map[*machine]*endpoint{}

	for i := range hosts {
		m := f.add(fmt.Sprintf("front-%s-%d", zones[i%2], i/2+1), zones[i%2])
		paths[m] = s.endpoint()
		m.store = paths[m].address
	}

	f.startAll()

	if !f.awaitReady(20 * time.Second) {
		rec.say("the machines do not become ready")

		return exitNotRun
	}

	var (
		mu   sync.Mutex
		all  = map[string]sent{}
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
				case <-time.After(interval):
				}

				id, at, status := send(c, m, time.Second)

				mu.Lock()
				all[id] = sent{m.node, at, status}
				mu.Unlock()
			}
		})
	}

	// The machines that read the store, in three looks a second apart: each pauses for a moment between two watches.
	reading := func() map[*machine]bool {
		found := map[*machine]bool{}

		for range 20 {
			for m, p := range paths {
				if p.reads() {
					found[m] = true
				}
			}

			time.Sleep(50 * time.Millisecond)
		}

		return found
	}

	began := time.Now()
	cut := reading()

	for float64(len(cut)) > most*hosts && time.Since(began) < 50*time.Second {
		cut = reading()
	}

	rec.say("%d of %d machines read the store", len(cut), hosts)

	if float64(len(cut)) > most*hosts {
		close(stop)
		wait.Wait()

		return exitNotRun
	}

	cutNodes := map[string]bool{}

	if trouble {
		for m := range cut {
			paths[m].setCut(true)
			cutNodes[m.node] = true

			rec.add("%s is partitioned from the store", m.node)
		}
	}

	time.Sleep(300 * time.Millisecond)

	leaving := app[0]
	ack := leaving.drain()
	rec.say("replica %s reports that it leaves; the store acknowledges that at %.3f s", leaving.name, rec.since(ack))

	time.Sleep(cutFor)

	for _, p := range paths {
		p.setCut(false)
	}

	time.Sleep(time.Second)
	close(stop)
	wait.Wait()

	byNode, late, before, statuses := map[string]int{}, 0, 0, map[int]int{}

	for _, q := range all {
		statuses[q.status]++
	}

	latest := 0.0

	for _, a := range leaving.reached() {
		q := all[a.id]

		switch {
		case q.at.Before(ack):
			before++
		case cutNodes[q.node]: // not in touch
		case q.at.After(ack.Add(drain)):
			late++
			byNode[q.node]++
			latest = max(latest, q.at.Sub(ack).Seconds())

			rec.addAt(a.at, "request %s, sent to %s at %.3f s, reaches %s, which leaves", a.id, q.node, rec.since(q.at), leaving.name)
		}
	}

	rec.say("answers by status, 0 for none: %v; %d reached %s before it left", statuses, before, leaving.name)

	if before < 20 {
		return exitNotRun
	}

	if late > 0 {
		rec.say("BROKEN DRAIN: %d requests that were sent up to %.1f s after the acknowledgement reached %s, through %d machines in touch: %v", late, latest, leaving.name, len(byNode), byNode)

		return exitBroken
	}

	return exitHeld
}
