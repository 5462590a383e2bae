package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// release replaces replicas of a service one after the other by ones of the next software version, those that generate first. A host is
// killed meanwhile, and clients take the streams up that it carried.
func release(w *world) verdict {
	const service = "draft"

	zones := []string{"abdali", "sweileh", "marka"}

	w.putManifest(map[string]any{"service": service}, service)

	var engines, generating []*engine

	start := func(name, version, phase string, i int) *engine {
		e := w.startEngine(engineOptions{
			name: name, service: service, zone: zones[i%3], version: version, phase: phase, events: 120, pause: 40 * time.Millisecond,
		})
		engines = append(engines, e)

		return e
	}

	for i := range 6 {
		if i < 2 {
			generating = append(generating, start(fmt.Sprintf("i-old-%d", i), "v1", phaseDecode, i))
		} else {
			start(fmt.Sprintf("i-old-%d", i), "v1", phasePrefill, i)
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
		fresh = make([]stream, streams)
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

			t := newClient(hosts[1+i%5]).stream(fmt.Sprintf("b0%014x", i), streamHost, streamPath+"x", 6*time.Second, s.last, id, nil)

			mu.Lock()
			next[i] = t
			mu.Unlock()
		})
	}

	time.Sleep(500 * time.Millisecond)

	for i, old := range generating {
		start(fmt.Sprintf("i-new-%d", i), "v2", phaseDecode, i)
		old.drain()
		w.note("%s has started, the store has accepted that %s leaves", fmt.Sprintf("i-new-%d", i), old.name)
		time.AfterFunc(6*time.Second, old.exit)
		time.Sleep(time.Second)
	}

	if w.trouble {
		w.note("%s is killed", hosts[0].name)
		hosts[0].signal(syscall.SIGKILL)
	}

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
