package quarantine_test

import (
	"fmt"
	"math/rand"
	"slices"
	"time"

	"github.com/dotterelflow/dotterelflow/internal/control/quarantine"
	"github.com/dotterelflow/dotterelflow/internal/control/table"
)

const (
	step           = 50 * time.Millisecond
	heartbeatSteps = 10
	listLag        = 2 * time.Second
	killEvery      = 3 * time.Second
)

var epoch = time.Date(2026, 1, 2, 8, 0, 0, 0, time.UTC)

// options vary the model of one data centre.
type options struct {
	hosts, targets int
	crashers       int           // fingerprints that crash each target
	parallel       int           // callers that send each of them at once
	innocents      int           // callers of other fingerprints
	loss           float64       // of digests
	delay          time.Duration // of digests, at most
	parts          int           // into which the hosts are divided for part of the time
	kills          int           // hosts that die, one each three seconds
}

type phase int

const (
	idle phase = iota
	waiting
	running
	cut
	holding // lost, the caller not yet told
)

// caller sends one request again and again, one at a time, to any host.
type caller struct {
	f        quarantine.Fingerprint
	crashes  bool
	at       time.Time // of the next send
	phase    phase
	host     int
	target   table.TargetID
	end      time.Time
	held     time.Time
	answered int
	refused  int
}

type message struct {
	at       time.Time
	from, to int
	digest   quarantine.Digest
}

// orphan is a run whose host has died.
type orphan struct {
	f      quarantine.Fingerprint
	target table.TargetID
	end    time.Time
}

// world is one data centre with lagging, lossy digests between its hosts.
type world struct {
	options
	rnd     *rand.Rand
	now     time.Time
	steps   int
	ids     []table.HostID
	hosts   []*quarantine.Table
	downTo  map[table.TargetID]time.Time
	net     []message
	callers []*caller
	lost    map[quarantine.Fingerprint]int
	died    []time.Time // by host; zero while it lives
	killed  int
	orphans []orphan
}

func fingerprint(i int) quarantine.Fingerprint {
	return quarantine.Of("account", "kind", fmt.Append(nil, i))
}

func newWorld(seed int64, o options) *world {
	w := &world{
		options: o,
		rnd:     rand.New(rand.NewSource(seed)),
		now:     epoch,
		downTo:  map[table.TargetID]time.Time{},
		lost:    map[quarantine.Fingerprint]int{},
	}

	for i := range o.hosts {
		id := table.HostID(fmt.Sprintf("h%d", i))
		w.ids = append(w.ids, id)
		w.hosts = append(w.hosts, quarantine.New(quarantine.Options{Self: id}))
	}

	w.died = make([]time.Time, o.hosts)

	for i := range o.targets {
		w.downTo[table.TargetID(fmt.Sprintf("t%d", i))] = epoch
	}

	for i := range o.crashers {
		for range o.parallel {
			w.callers = append(w.callers, &caller{f: fingerprint(i), crashes: true, at: w.later(time.Second)})
		}
	}

	for i := range o.innocents {
		w.callers = append(w.callers, &caller{f: fingerprint(100 + i), at: w.later(time.Second)})
	}

	return w
}

func (w *world) later(d time.Duration) time.Time {
	return w.now.Add(time.Duration(w.rnd.Int63n(int64(d))))
}

// cutOff reports whether hosts a and b are in different parts now.
func (w *world) cutOff(a, b int) bool {
	t := w.now.Sub(epoch)

	return w.parts > 1 && t > 500*time.Millisecond && t < 20*time.Second && a%w.parts != b%w.parts
}

func (w *world) up() []table.TargetID {
	var list []table.TargetID

	for id, until := range w.downTo {
		if !w.now.Before(until) {
			list = append(list, id)
		}
	}

	slices.Sort(list)

	return list
}

// listed returns the hosts of the platform's list, which lags behind their deaths.
func (w *world) listed() []table.HostID {
	var ids []table.HostID

	for i, id := range w.ids {
		if w.died[i].IsZero() || w.now.Sub(w.died[i]) < listLag {
			ids = append(ids, id)
		}
	}

	return ids
}

// kill takes a host away. What it had running goes on without it.
func (w *world) kill(host int) {
	w.died[host] = w.now

	for _, c := range w.callers {
		if c.host != host || c.phase == idle {
			continue
		}

		if c.phase == running && c.crashes {
			w.orphans = append(w.orphans, orphan{c.f, c.target, c.end})
		}

		c.phase, c.at = idle, w.later(500*time.Millisecond)
	}
}

func (w *world) view() quarantine.View {
	v := quarantine.View{Hosts: w.listed()}

	for _, id := range w.up() {
		n := 0

		for _, c := range w.callers {
			if c.phase == running && c.target == id {
				n++
			}
		}

		v.Candidates = append(v.Candidates, quarantine.Candidate{Target: id, Running: n})
	}

	return v
}

func (w *world) step() {
	w.now = w.now.Add(step)
	w.steps++
	w.exchange()

	if next := time.Duration(w.killed+1) * killEvery; w.killed < w.kills && w.now.Sub(epoch) >= next {
		w.kill(w.killed)
		w.killed++
	}

	w.orphans = slices.DeleteFunc(w.orphans, func(o orphan) bool {
		if w.now.Before(o.end) {
			return false
		}

		w.crash(o.f, o.target)

		return true
	})

	for _, c := range w.callers {
		w.advance(c)
	}

	for i, h := range w.hosts {
		if !w.died[i].IsZero() {
			continue
		}

		h.Tick(w.now)

		for _, tr := range h.Trials(w.now, w.view()) {
			at := slices.IndexFunc(w.callers, func(c *caller) bool {
				return c.phase == waiting && c.host == i && c.f == tr.Fingerprint
			})
			w.run(w.callers[at], tr.Target)
		}
	}
}

func (w *world) exchange() {
	for from := range w.hosts {
		for to := range w.hosts {
			if from == to || !w.died[from].IsZero() || (w.steps+from)%heartbeatSteps != 0 {
				continue
			}

			d := w.hosts[from].Export(w.ids[to])
			if w.rnd.Float64() >= w.loss && !w.cutOff(from, to) {
				w.net = append(w.net, message{w.later(w.delay + 1), from, to, d})
			}
		}
	}

	w.net = slices.DeleteFunc(w.net, func(m message) bool {
		if w.now.Before(m.at) {
			return false
		}

		w.hosts[m.to].Merge(w.now, w.ids[m.from], m.digest)

		return true
	})
}

func (w *world) advance(c *caller) {
	h := w.hosts[c.host]

	switch c.phase {
	case idle:
		if !w.now.Before(c.at) {
			c.host = w.killed + w.rnd.Intn(len(w.hosts)-w.killed)
			w.try(c)
		}
	case waiting:
		w.try(c)
	case running:
		if !w.now.Before(c.end) {
			w.finish(c)
		}
	case cut:
		if !w.now.Before(c.end) {
			h.Ended(w.now, c.f, c.target, quarantine.Cut)
			c.phase, c.held = holding, w.now
		}
	case holding:
		known := h.Settled(c.f, w.listed())
		if w.parts > 1 {
			known = h.Told(w.now, c.f, w.listed())
		}

		if known && w.now.Sub(c.held) > 3*time.Second {
			c.phase, c.at = idle, w.later(500*time.Millisecond)
		}
	}
}

func (w *world) try(c *caller) {
	h := w.hosts[c.host]
	up := slices.DeleteFunc(w.up(), h.Reserved)

	if len(up) == 0 {
		return
	}

	target := up[w.rnd.Intn(len(up))]

	switch h.Begin(w.now, c.f, target).Action {
	case quarantine.Run:
		w.run(c, target)
	case quarantine.Wait:
		c.phase = waiting
	default:
		c.refused++
		c.phase, c.at = idle, w.later(500*time.Millisecond)
	}
}

func (w *world) run(c *caller, target table.TargetID) {
	c.phase, c.target = running, target
	c.end = w.later(800 * time.Millisecond)
}

// finish ends a run whole, or takes the target and all that runs on it down.
func (w *world) finish(c *caller) {
	if !c.crashes {
		w.hosts[c.host].Ended(w.now, c.f, c.target, quarantine.Whole)
		c.answered++
		c.phase, c.at = idle, w.later(500*time.Millisecond)

		return
	}

	w.crash(c.f, c.target)
}

// crash takes a target down on account of f.
func (w *world) crash(f quarantine.Fingerprint, target table.TargetID) {
	w.lost[f]++
	w.downTo[target] = w.now.Add(4 * time.Second)

	for _, other := range w.callers {
		if other.phase == running && other.target == target {
			other.phase = cut
			other.end = w.later(time.Second)
		}
	}
}
