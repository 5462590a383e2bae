package main

import (
	"fmt"
	"slices"
	"sync"
	"time"
)

// crashPart sends requests with a part that crashes the replicas of a route that is split between services. Sound streams run beside them.
func crashPart(w *world) verdict {
	const firstPart, part, soundPart = "e4402b7d", "5c1e07a2", "91bd3f06" // ids of parts of prompts

	services := []string{"draft-a", "draft-b", "draft-c"}
	zones := []string{"abdali", "sweileh", "marka"}

	// A route as parent-question, which is not resumable.
	w.putManifest(map[string]any{
		"name": "parent-question", fieldObjective: 600, "timeout_ms": 8000, "max_attempts": 1, "resumable": false,
		"traffic_split": []any{
			map[string]any{"service": services[0], "weight": 34}, map[string]any{"service": services[1], "weight": 33}, map[string]any{"service": services[2], "weight": 33},
		},
	}, services...)

	var engines []*engine

	for _, service := range services {
		for i := range 6 {
			phase := phaseDecode
			if i%2 == 0 {
				phase = phasePrefill
			}

			engines = append(engines, w.startEngine(engineOptions{
				name: fmt.Sprintf("%s-%d", service, i), service: service, zone: zones[i%3], version: "v1", phase: phase, events: 30, pause: 40 * time.Millisecond,
				crashPart: part,
			}))
		}
	}

	hosts := w.startHosts(zones, []int{2, 2, 2}, smallBounds)
	w.note("%d hosts are ready", len(hosts))
	time.Sleep(14 * time.Second) // traffic starts later than the machines

	var (
		all    sync.WaitGroup
		mu     sync.Mutex
		bad    []stream
		sounds []stream
	)

	send := func(n int, shared, prefix string, list *[]stream) {
		c := newClient(hosts[n%len(hosts)])
		c.shared = firstPart + ":200," + shared + ":200,"

		all.Go(func() {
			s := c.stream(fmt.Sprintf("%s%014x", prefix, n), streamHost, streamPath+"x", 8*time.Second, 0, "", nil)

			mu.Lock()
			defer mu.Unlock()

			*list = append(*list, s)
		})
	}

	const requests = 20

	for n := range 50 * requests {
		send(n, soundPart, "a0", &sounds)

		if w.trouble && n%50 == 0 {
			send(n/50, part, "b0", &bad)
		}

		time.Sleep(40 * time.Millisecond)
	}

	all.Wait()
	w.noteStreams(append(slices.Clone(bad), sounds...), engines)

	var (
		crashes []time.Time
		reached []generation
	)

	for _, e := range engines {
		crashes = append(crashes, e.crashes...)

		for _, g := range e.generations() {
			if g.id[0] == 'b' {
				reached = append(reached, g)
			}
		}
	}

	slices.SortFunc(crashes, time.Time.Compare)
	slices.SortFunc(reached, func(a, b generation) int { return a.began.Compare(b.began) })

	// A sound request is lost if it ran and its client did not get the whole answer.
	isLost := func(s stream) bool { return s.status == 502 || s.status == 200 && !s.whole }
	lost, late := 0, 0

	for _, s := range sounds {
		if isLost(s) {
			lost++
		}
	}

	if len(crashes) < 5 {
		return held("%d crashes, %d of %d sound streams were lost", len(crashes), lost, len(sounds))
	}

	bound := crashes[4].Add(time.Duration(smallBounds.StabilityMS) * time.Millisecond)

	for _, g := range reached {
		w.note("request %s reached %s %s, %d ms after the bound", g.id, g.engine.name, w.at(g.began), g.began.Sub(bound).Milliseconds())

		if g.began.After(bound) {
			late++
		}
	}

	lostLate := 0

	for _, s := range sounds {
		if isLost(s) && s.end.After(bound) {
			lostLate++
		}
	}

	w.note("%d crashes; %d requests with the part were sent; %d of %d sound streams were lost, %d of them after the bound", len(crashes), len(bad), lost, len(sounds), lostLate)

	if late > 3 {
		return broken("BUDGET: %d requests with the part reached replicas later than stability_window_ms after the fifth crash; %d crashes; %d sound streams were lost since", late, len(crashes), lostLate)
	}

	return held("%d requests with the part reached replicas later than stability_window_ms after the fifth crash; %d crashes", late, len(crashes))
}
