package quarantine_test

import (
	"fmt"
	"math/rand"
	"slices"
	"time"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/control/quarantine"
)

const (
	step           = 50 * time.Millisecond
	heartbeatSteps = 10
	listLag        = 2 * time.Second
	killEvery      = 3 * time.Second
)

var epoch = time.Date(2026, 1, 2, 8, 0, 0, 0, time.UTC)

// options configure the simulated data centre.
type options struct {
	hosts, targets int
	crashers       int           // number of fingerprints that crash any target
	parallel       int           // number of callers that send the same crashing request
	harmless       int           // number of callers of other fingerprints
	loss           float64       // share of digests that are lost
	delay          time.Duration // longest delay of a digest
	partitions     int           // number of partitions of the hosts from 0.5 s to 20 s
	kills          int           // number of hosts that die, one every killEvery
}

type phase int

const (
	idle phase = iota
	waiting
	running
	cut
	holding // cut, and the answer to the caller is held back until the hosts have confirmed the loss
)

// caller sends one request repeatedly, one at a time, each time to a random live host.
type caller struct {
	f        quarantine.Fingerprint
	crashes  bool
	nextSend time.Time
	phase    phase
	host     int
	target   entity.TargetID
	end      time.Time // when the run ends, or when the host detects the cut
	held     time.Time // since when the answer is held back
	answered int
	refused  int
}

// message is a digest on its way to another host.
type message struct {
	arrival  time.Time
	from, to int
	digest   quarantine.Digest
}

// orphan is a run whose host has died.
type orphan struct {
	f      quarantine.Fingerprint
	target entity.TargetID
	end    time.Time
}

// world simulates the entry hosts of one data centre. Digests between them may be late or lost.
type world struct {
	options
	rnd       *rand.Rand
	now       time.Time
	steps     int
	ids       []entity.HostID
	hosts     []*quarantine.Table
	downUntil map[entity.TargetID]time.Time
	inTransit []message
	callers   []*caller
	lost      map[quarantine.Fingerprint]int // number of targets lost to each fingerprint
	died      []time.Time                    // time of death of each host; zero while it lives
	killed    int                            // number of dead hosts, which are the first ones in hosts
	orphans   []orphan
}

func fingerprint(i int) quarantine.Fingerprint {
	return quarantine.FingerprintOf("account", "kind", fmt.Append(nil, i))
}

func newWorld(seed int64, o options) *world {
	w := &world{
		options:   o,
		rnd:       rand.New(rand.NewSource(seed)),
		now:       epoch,
		downUntil: map[entity.TargetID]time.Time{},
		lost:      map[quarantine.Fingerprint]int{},
	}

	for i := range o.hosts {
		id := entity.HostID(fmt.Sprintf("h%d", i))
		w.ids = append(w.ids, id)
		w.hosts = append(w.hosts, quarantine.New(quarantine.Options{Self: id}))
	}

	w.died = make([]time.Time, o.hosts)

	for i := range o.targets {
		w.downUntil[entity.TargetID(fmt.Sprintf("t%d", i))] = epoch
	}

	for i := range o.crashers {
		for range o.parallel {
			w.callers = append(w.callers, &caller{f: fingerprint(i), crashes: true, nextSend: w.randomTime(time.Second)})
		}
	}

	for i := range o.harmless {
		w.callers = append(w.callers, &caller{f: fingerprint(100 + i), nextSend: w.randomTime(time.Second)})
	}

	return w
}

// randomTime returns a time less than d from now.
func (w *world) randomTime(d time.Duration) time.Time {
	return w.now.Add(time.Duration(w.rnd.Int63n(int64(d))))
}

// partitioned reports whether hosts a and b are in different partitions now.
func (w *world) partitioned(a, b int) bool {
	t := w.now.Sub(epoch)

	return w.partitions > 1 && t > 500*time.Millisecond && t < 20*time.Second && a%w.partitions != b%w.partitions
}

// upTargets returns the targets that are running, in order.
func (w *world) upTargets() []entity.TargetID {
	var list []entity.TargetID

	for id, until := range w.downUntil {
		if !w.now.Before(until) {
			list = append(list, id)
		}
	}

	slices.Sort(list)

	return list
}

// listedHosts returns the platform's host list, which drops a host listLag after its death.
func (w *world) listedHosts() []entity.HostID {
	var ids []entity.HostID

	for i, id := range w.ids {
		if w.died[i].IsZero() || w.now.Sub(w.died[i]) < listLag {
			ids = append(ids, id)
		}
	}

	return ids
}

// kill ends a host. Its runs go on at their targets.
func (w *world) kill(host int) {
	w.died[host] = w.now

	for _, c := range w.callers {
		if c.host != host || c.phase == idle {
			continue
		}

		if c.phase == running && c.crashes {
			w.orphans = append(w.orphans, orphan{c.f, c.target, c.end})
		}

		c.phase, c.nextSend = idle, w.randomTime(500*time.Millisecond)
	}
}

func (w *world) view() quarantine.View {
	v := quarantine.View{Hosts: w.listedHosts()}

	for _, id := range w.upTargets() {
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
	w.exchangeDigests()

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

		for _, tr := range h.StartTrials(w.now, w.view()) {
			at := slices.IndexFunc(w.callers, func(c *caller) bool {
				return c.phase == waiting && c.host == i && c.f == tr.Fingerprint
			})
			w.run(w.callers[at], tr.Target)
		}
	}
}

// exchangeDigests sends the digests that are due and delivers those that have arrived.
func (w *world) exchangeDigests() {
	for from := range w.hosts {
		for to := range w.hosts {
			if from == to || !w.died[from].IsZero() || (w.steps+from)%heartbeatSteps != 0 {
				continue
			}

			d := w.hosts[from].Export(w.ids[to])
			if w.rnd.Float64() >= w.loss && !w.partitioned(from, to) {
				w.inTransit = append(w.inTransit, message{w.randomTime(w.delay + 1), from, to, d})
			}
		}
	}

	w.inTransit = slices.DeleteFunc(w.inTransit, func(m message) bool {
		if w.now.Before(m.arrival) {
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
		if !w.now.Before(c.nextSend) {
			c.host = w.killed + w.rnd.Intn(len(w.hosts)-w.killed)
			w.send(c)
		}
	case waiting:
		w.send(c)
	case running:
		if !w.now.Before(c.end) {
			w.finish(c)
		}
	case cut:
		if !w.now.Before(c.end) {
			h.RunEnded(w.now, c.f, c.target, quarantine.Cut)
			c.phase, c.held = holding, w.now
		}
	case holding:
		confirmed := h.ConfirmedIdle(c.f, w.listedHosts())
		if w.partitions > 1 {
			confirmed = h.ConfirmedByReachable(w.now, c.f, w.listedHosts())
		}

		if confirmed && w.now.Sub(c.held) > 3*time.Second {
			c.phase, c.nextSend = idle, w.randomTime(500*time.Millisecond)
		}
	}
}

// send offers the request of c to its host, with a random target that is not reserved.
func (w *world) send(c *caller) {
	h := w.hosts[c.host]
	up := slices.DeleteFunc(w.upTargets(), h.Reserved)

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
		c.phase, c.nextSend = idle, w.randomTime(500*time.Millisecond)
	}
}

func (w *world) run(c *caller, target entity.TargetID) {
	c.phase, c.target = running, target
	c.end = w.randomTime(800 * time.Millisecond)
}

// finish ends a run: it completes, or it crashes its target.
func (w *world) finish(c *caller) {
	if !c.crashes {
		w.hosts[c.host].RunEnded(w.now, c.f, c.target, quarantine.Completed)
		c.answered++
		c.phase, c.nextSend = idle, w.randomTime(500*time.Millisecond)

		return
	}

	w.crash(c.f, c.target)
}

// crash takes a target down, as f ran on it, and cuts all runs there.
func (w *world) crash(f quarantine.Fingerprint, target entity.TargetID) {
	w.lost[f]++
	w.downUntil[target] = w.now.Add(4 * time.Second)

	for _, other := range w.callers {
		if other.phase == running && other.target == target {
			other.phase = cut
			other.end = w.randomTime(time.Second)
		}
	}
}
