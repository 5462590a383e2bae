package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

const (
	streamHost = "ficu95.example"
	streamPath = "/pufi791/"
)

var smallBounds = bounds{StabilityMS: 3000, DrainMS: 2000, ConfigMS: 2000, GraceS: 8, LeaseMS: 3000, RetrySlack: 54, Fence: true}

// modelService is a service with an engine, as a manifest states it.
func modelService(name string) map[string]any {
	return map[string]any{
		"name": name, "health_path": "/healthz", "max_connections": 370,
		"engine": map[string]any{
			"slots": 64, "kv_capacity_tokens": 499536, "kv_token_bytes": 18432, "link_mbps": 550000.0, "kv_ttl_s": 5.0, "role_switch_s": roleSwitch.Seconds(),
			"models": []any{map[string]any{"name": "m"}},
		},
	}
}

// putManifest writes a manifest with one route of streams.
func (w *world) putManifest(route map[string]any, services ...string) {
	r := map[string]any{
		"name": "survey-draft", "host": streamHost, "path_prefix": streamPath, "kind": "streaming", "timeout_ms": 10000, fieldObjective: 800,
		"priority": 2, "max_attempts": 2, "sticky": true, "resumable": true, "gap_target_ms": 250,
	}
	for k, v := range route {
		r[k] = v
	}

	var list []any
	for _, name := range services {
		list = append(list, modelService(name))
	}

	w.store.Put("config", "main", map[string]any{
		"version": 7, "routes": []any{r}, "services": list,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 2000, "idle_timeout_ms": 15000},
	})
}

// noteStreams writes to the record the attempts in list and all runs of the engines.
func (w *world) noteStreams(list []stream, engines []*engine) {
	for _, s := range list {
		w.note("sent %s to %s %s, ended %s: status %d, %d events of %s at %s, whole: %v", s.id, s.host.name, w.at(s.at), w.at(s.end), s.status, len(s.pieces),
			s.service, s.version, s.whole)
	}

	for _, e := range engines {
		for _, g := range e.generations() {
			w.note("run %s at %s (%s) after event %d, %s to %s, %d events made", g.id, e.name, e.version, g.after, w.at(g.began), w.at(g.ended), g.events)
		}
	}
}

// splitStreams breaks streams of a route that is split between services, whose replicas are of two software versions each. Clients take
// them up.
func splitStreams(w *world) verdict {
	services := []string{"draft-a", "draft-b", "draft-c"}
	zones := []string{"abdali", "sweileh", "marka"}

	w.putManifest(map[string]any{"traffic_split": []any{
		map[string]any{"service": services[0], "weight": 34}, map[string]any{"service": services[1], "weight": 33}, map[string]any{"service": services[2], "weight": 33},
	}}, services...)

	var engines []*engine

	for _, service := range services {
		for _, version := range []string{"v1", "v2"} {
			for i := range 4 {
				phase := phaseDecode
				if i%2 == 0 {
					phase = phasePrefill
				}

				engines = append(engines, w.startEngine(engineOptions{
					name: fmt.Sprintf("%s-%s-%d", service, version, i), service: service, zone: zones[i%3], version: version, phase: phase,
					events: 100, pause: 40 * time.Millisecond,
				}))
			}
		}
	}

	hosts := w.startHosts(zones, []int{2, 2, 2}, smallBounds)
	w.note("%d hosts are ready", len(hosts))
	time.Sleep(14 * time.Second) // traffic starts later than the machines

	const streams = 36

	var (
		all   sync.WaitGroup
		mu    sync.Mutex
		first = make([]stream, streams)
		next  = make([]stream, streams)
	)

	for i := range streams {
		all.Go(func() {
			id := fmt.Sprintf("a0%014x", i)
			s := newClient(hosts[0]).stream(id, streamHost, streamPath+"x", 10*time.Second, 0, "", nil)

			mu.Lock()
			first[i] = s
			mu.Unlock()

			if s.whole || s.last == 0 {
				return
			}

			// The channel broke: the client takes the stream up at another node.
			t := newClient(hosts[1+i%5]).stream(fmt.Sprintf("b0%014x", i), streamHost, streamPath+"x", 8*time.Second, s.last, id, nil)

			mu.Lock()
			next[i] = t
			mu.Unlock()
		})
	}

	time.Sleep(2 * time.Second)

	if w.trouble {
		w.note("%s is killed", hosts[0].name)
		hosts[0].signal(syscall.SIGKILL)
	}

	// New streams at the same nodes, as the measure.
	fresh := make([]stream, streams)

	for i := range streams {
		all.Go(func() {
			s := newClient(hosts[1+i%5]).stream(fmt.Sprintf("c0%014x", i), streamHost, streamPath+"x", 10*time.Second, 0, "", nil)

			mu.Lock()
			fresh[i] = s
			mu.Unlock()
		})
	}

	all.Wait()

	w.noteStreams(fresh, engines)

	return w.judgeTakenUp(first, next, fresh)
}

// judgeTakenUp checks the rule LOST on streams that clients take up again: next are the attempts that took those of first up, and have no id
// where there is none; fresh are new streams.
func (w *world) judgeTakenUp(first, next, fresh []stream) verdict {
	taken, wentOn, foreign, began := 0, 0, 0, 0

	for i := range fresh {
		if fresh[i].last > 0 {
			began++
		}

		if next[i].id == "" {
			continue
		}

		taken++

		if next[i].last > first[i].last {
			wentOn++

			if next[i].service != first[i].service {
				foreign++
			}
		}

		w.note("stream %s: %d events of %s at %s; taken up as %s at %s: status %d, up to event %d of %s at %s", first[i].id, first[i].last, first[i].service,
			first[i].version, next[i].id, next[i].host.name, next[i].status, next[i].last, next[i].service, next[i].version)
	}

	streams := len(fresh)
	w.note("new streams: %d of %d began; taken up: %d, of which %d went on, %d of these at another service", began, streams, taken, wentOn, foreign)

	if began < streams/2 {
		return unrun("only %d of %d new streams began", began, streams)
	}

	if taken >= 12 && 2*wentOn*streams < began*taken {
		return broken("LOST: of %d streams that clients took up again %d went on, of %d new ones %d began", taken, wentOn, streams, began)
	}

	return held("of %d streams that clients took up again %d went on, of %d new ones %d began", taken, wentOn, streams, began)
}
