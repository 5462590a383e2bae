package main

import (
	"context"
	"fmt"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	uploadBytes   = 4_000_000 // below max_body_bytes of the manifest, 4 MiB
	uploadLimit   = 10 * time.Second
	uploadWork    = time.Second
	uploadClients = 45 // at the usual load
	// uploadRate is the uplink of one client in bytes per second. All clients of the burst together stay below the link of the
	// machine, 1,000 Mbit/s, so that no packets wait there.
	uploadRate  = 1_380_000
	burstFactor = 2 // largest dose of bursts in the site file
	usualTime   = 6 * time.Second
	burstTime   = 5 * time.Second // as long as such bursts last there
	rampTime    = 2 * time.Second // in which the clients of a group begin
	memoryPoll  = 5 * time.Millisecond
	// allowedLosses is the number of channels that may be closed without an answer (rule LOST).
	allowedLosses = 3
)

// uploads is the case of many uploads at a time.
type uploads struct {
	record  *record
	fleet   *fleet
	service *service

	next     atomic.Int64
	served   atomic.Int64
	other    atomic.Int64
	lost     atomic.Int64 // channels that ended without an answer after the request was passed on
	unpassed atomic.Int64 // the same, before the request was passed on
}

func uploadCase(r *record, dir string, trouble bool) (broken bool, err error) {
	f, err := newFleet(r, 1)
	if err != nil {
		return false, err
	}

	defer f.close()

	if err := f.configure(filepath.Join(dir, "manifest.json")); err != nil {
		return false, err
	}

	s := newService(r, 6, 24, uploadWork)
	for i := range 4 {
		defer s.serve(f, "field-api", fmt.Sprintf("i-%d", i+1)).Close()
	}

	if err := f.start(); err != nil {
		return false, err
	}

	u := &uploads{record: r, fleet: f, service: s}

	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()

	var group sync.WaitGroup

	kills := make(chan int, 1)
	var peak float64

	go func() { kills <- u.enforceMemory(ctx, f.hosts[0], &peak) }()

	// The clients do not begin at the same moment.
	load := func(ctx context.Context, n int) {
		for i := range n {
			group.Go(func() {
				sleep(ctx, time.Duration(i)*rampTime/time.Duration(n))
				u.client(ctx, f.hosts[0])
			})
		}
	}

	loadCtx, stopLoad := context.WithTimeout(ctx, 2*usualTime+burstTime)
	defer stopLoad()

	load(loadCtx, uploadClients)
	sleep(loadCtx, usualTime)

	if trouble {
		r.notef("burst: %d times the clients for %v", burstFactor, burstTime)
		burstCtx, stopBurst := context.WithTimeout(loadCtx, burstTime)
		load(burstCtx, uploadClients*(burstFactor-1))
		<-burstCtx.Done()
		stopBurst()
		r.notef("the burst has ended")
	}

	group.Wait()
	cancel()

	killed := <-kills
	r.sayf("served %d, lost after being passed on %d, lost before %d, other answers %d; killed for its memory %d times, peak %.0f MB of %d",
		u.served.Load(), u.lost.Load(), u.unpassed.Load(), u.other.Load(), killed, peak, memoryMB)

	return u.lost.Load() > allowedLosses || f.hosts[0].exits > 0, nil
}

// client sends uploads on a kept channel, one after the other.
func (u *uploads) client(ctx context.Context, h *host) {
	body := make([]byte, uploadBytes)

	var c *channel

	for ctx.Err() == nil {
		if c == nil {
			var err error
			if c, err = openChannel(h.front); err != nil {
				sleep(ctx, 100*time.Millisecond)

				continue
			}
		}

		id := fmt.Sprintf("u-%d", u.next.Add(1))
		a := c.do("POST", "/upload/x", id, uploadLimit, body, uploadRate)
		u.record.notef("client %s: %v", id, a)

		switch {
		case a.status == 200 && a.err == nil:
			u.served.Add(1)

			continue
		case a.err == nil:
			u.other.Add(1)
		case a.timedOut():
		case a.sent && len(u.service.runsOf(id)) > 0:
			u.lost.Add(1)
		default:
			u.unpassed.Add(1)
		}

		_ = c.Close()
		c = nil

		sleep(ctx, 100*time.Millisecond)
	}

	if c != nil {
		_ = c.Close()
	}
}

// enforceMemory kills the process of h when it has more memory than its limit, and starts it again, as the platform does. It returns
// how often it did.
func (u *uploads) enforceMemory(ctx context.Context, h *host, peak *float64) int {
	killed := 0

	for ctx.Err() == nil {
		used := h.memoryMB()
		*peak = max(*peak, used)

		if used > memoryMB {
			killed++

			u.record.notef("%s uses %.0f MB: killed", h.name, used)
			h.signal(syscall.SIGKILL, true)
			<-h.done()
			sleep(ctx, restartDelay)

			if err := h.start(); err != nil {
				u.record.sayf("%s was not started again: %v", h.name, err)

				return killed
			}
		}

		sleep(ctx, memoryPoll)
	}

	return killed
}
