package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	settingsHosts    = 2
	settingsWork     = 10 * time.Millisecond
	settingsInterval = 50 * time.Millisecond // between two requests
	settingsLimit    = time.Second           // time limit of a request
	settledTime      = 4 * time.Second
	recoveryTime     = 12 * time.Second // recovery_s of the small sites' sheets
	measuredTime     = 4 * time.Second
	// leastServed is the share of requests of which more have to be served (rule RECOVER).
	leastServed = 0.25
)

// settingsCase changes a bound in the settings files, sends SIGHUP to half of the machines, and later kills all processes at once.
func settingsCase(r *record, dir string, trouble bool) (broken bool, err error) {
	f, err := newFleet(r, settingsHosts)
	if err != nil {
		return false, err
	}

	defer f.close()

	if err := f.configure(filepath.Join(dir, "manifest.json")); err != nil {
		return false, err
	}

	s := newService(r, 6, 24, settingsWork)
	for i := range 2 {
		defer s.serve(f, "field-api", fmt.Sprintf("i-%d", i+1)).Close()
	}

	if err := f.start(); err != nil {
		return false, err
	}

	c := &callers{record: r, fleet: f}
	before := c.share(settledTime)
	r.sayf("served before: %.2f", before)

	drain := "2500"
	if trouble {
		drain = "2500.5"
	}

	r.notef("settings files of all machines: drain_ms = %s, SIGHUP to the first machine", drain)

	for _, h := range f.hosts {
		if err := h.writeSettings(drain); err != nil {
			return false, err
		}
	}

	f.hosts[0].signal(syscall.SIGHUP, false)

	r.sayf("served after SIGHUP: %.2f", c.share(settledTime))

	ctx, cancel := context.WithCancel(context.Background())

	var group sync.WaitGroup

	for _, h := range f.hosts {
		h.signal(syscall.SIGKILL, true)
		group.Go(func() { h.supervise(ctx) })
	}

	r.notef("all processes are killed; the platform starts them again")
	sleep(ctx, restartDelay+recoveryTime)

	after := c.share(measuredTime)

	cancel()
	group.Wait()

	exits := 0
	for _, h := range f.hosts {
		exits += h.exits
	}

	r.sayf("served later than recovery_s after the machines are back: %.2f; processes that ended by themselves: %d", after, exits)

	return before >= leastServed && after < leastServed, nil
}

// callers send requests to all hosts in turn, each on a new channel.
type callers struct {
	record *record
	fleet  *fleet
	next   atomic.Int64
}

// share sends requests for d and returns the share of them that were served.
func (c *callers) share(d time.Duration) float64 {
	var (
		group        sync.WaitGroup
		sent, served atomic.Int64
	)

	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(settingsInterval) {
		group.Go(func() {
			sent.Add(1)

			id := fmt.Sprintf("s-%d", c.next.Add(1))
			h := c.fleet.hosts[rand.IntN(len(c.fleet.hosts))]

			ch, err := openChannel(h.front)
			if err != nil {
				c.record.notef("client %s: no channel to %s: %v", id, h.name, err)

				return
			}

			defer func() { _ = ch.Close() }()

			a := ch.do("POST", "/ack/x", id, settingsLimit, []byte("x"), 0)
			c.record.notef("client %s at %s: %v", id, h.name, a)

			if a.err == nil && a.status == 200 && a.signed {
				served.Add(1)
			}
		})
	}

	group.Wait()

	return float64(served.Load()) / float64(max(sent.Load(), 1))
}
