package main

import (
	"fmt"
	"sync"
	"time"
)

// silentEngine makes one sound model replica fall silent for a second while it runs streams. It is one of those that do not drop a request
// when its channel closes.
func silentEngine(w *world) verdict {
	const service = "draft"

	zones := []string{"abdali", "sweileh"}

	// The route policy-summary of cptca-quotes-grown, and the bounds of its sheet.
	b := bounds{StabilityMS: 4000, DrainMS: 3000, ConfigMS: 3000, GraceS: 8, LeaseMS: 3000, RetrySlack: 158, Fence: false}
	w.putManifest(map[string]any{"name": "policy-summary", "service": service, fieldObjective: 500, "gap_target_ms": 200}, service)

	var engines []*engine

	for i := range 8 {
		phase := phaseDecode
		if i%2 == 0 {
			phase = phasePrefill
		}

		engines = append(engines, w.startEngine(engineOptions{
			name: fmt.Sprintf("i-%d", i), service: service, zone: zones[i/2%2], version: "v1", phase: phase, events: 80, pause: 40 * time.Millisecond,
			goesOn: i%2 == 1, unfenced: true,
		}))
	}

	hosts := w.startHosts(zones, []int{2, 2}, b)
	w.note("%d hosts are ready", len(hosts))
	time.Sleep(14 * time.Second) // traffic starts later than the machines

	const streams = 24

	var (
		all  sync.WaitGroup
		list = make([]stream, streams)
	)

	for i := range streams {
		all.Go(func() {
			list[i] = newClient(hosts[i%len(hosts)]).stream(fmt.Sprintf("a0%014x", i), streamHost, streamPath+"x", 10*time.Second, 0, "", nil)
		})
		time.Sleep(20 * time.Millisecond)
	}

	time.Sleep(500 * time.Millisecond)

	if w.trouble {
		busiest := engines[0]
		for _, e := range engines {
			if len(e.generations()) > len(busiest.generations()) {
				busiest = e
			}
		}

		w.note("%s falls silent for 1 s, with %d streams", busiest.name, len(busiest.generations()))
		busiest.silence(time.Second)
	}

	all.Wait()
	time.Sleep(4 * time.Second) // runs that nobody hears end

	runs := map[string][]generation{}

	for _, e := range engines {
		for _, g := range e.generations() {
			runs[g.id] = append(runs[g.id], g)
		}
	}

	w.noteStreams(list, engines)

	twice, whole := 0, 0

	for _, s := range list {
		if s.whole && s.last == 80 {
			whole++
		}

		if len(runs[s.id]) < 2 {
			continue
		}

		before, after := runs[s.id][0], runs[s.id][1]
		if after.began.Before(before.began) {
			before, after = after, before
		}

		if before.ended.Sub(after.began) > 400*time.Millisecond {
			twice++

			w.note("stream %s: %s works on it until %s, %s since %s", s.id, before.engine.name, w.at(before.ended), after.engine.name, w.at(after.began))
		}
	}

	w.note("%d streams, %d whole at their client", streams, whole)

	if twice > 0 {
		return broken("TWICE: %d of %d streams went on at another replica while the one before worked on them 400 ms later", twice, streams)
	}

	return held("no stream was worked on by two replicas for longer than 400 ms")
}
