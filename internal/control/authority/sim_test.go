package authority_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"testing"
	"time"

	"github.com/dotterelflow/dotterelflow/internal/control/authority"
	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/wire/platform"
)

const step = 100 * time.Millisecond

var epoch = time.Unix(1_000_000, 0)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "300")
	os.Exit(m.Run())
}

// call is an action that was sent to the platform and not yet answered.
type call struct {
	action   authority.Action
	serveAt  time.Duration
	answerAt time.Duration
	served   bool
	lost     bool
	record   authority.Record
	version  platform.Version
	err      error
}

// host is a Machine with a clock that runs at a rate of its own.
type host struct {
	*authority.Machine
	id      entity.HostID
	tick    authority.Tick
	rate    float64
	paused  bool
	dead    bool
	down    bool          // cannot reach the platform
	lose    bool          // the answers to its writes are lost
	delay   time.Duration // delay before a write takes effect
	era     uint64        // latest era of the store that an answer has stated
	pending *call
}

// sim simulates hosts that compete for one lease, in virtual time.
type sim struct {
	now     time.Duration
	opts    authority.Options
	hosts   []*host
	orphans []*call // writes whose hosts no longer wait for them, but which may still take effect
	record  authority.Record
	version platform.Version
	copies  []storeCopy // of each step
	calls   int
	started int
}

// storeCopy is the state of the store at one time.
type storeCopy struct {
	record   authority.Record
	revision uint64
}

// drill brings the store back from its copy of the given age, in the next era.
func (s *sim) drill(age time.Duration) {
	c := storeCopy{s.record, s.version.Revision()}

	if n := len(s.copies); n > 0 {
		c = s.copies[max(n-1-int(age/step), 0)]
	}

	s.record, s.version = c.record, platform.VersionAt(s.version.Era()+1, c.revision)
	s.copies = []storeCopy{c}
}

func newSim(n int, opts authority.Options) *sim {
	s := &sim{opts: opts}
	for range n {
		s.start("")
	}

	return s
}

// start adds a host; an empty address means its ID.
func (s *sim) start(address string) *host {
	s.started++
	h := &host{id: entity.HostID(fmt.Sprint("host-", s.started)), rate: 1}
	h.tick = authority.Tick{Standby: true, NoOrdersInFlight: true}

	opts := s.opts
	opts.Host, opts.Address = h.id, address

	if address == "" {
		opts.Address = string(h.id)
	}

	h.Machine = authority.NewMachine(opts, s.local(h), rand.New(rand.NewPCG(uint64(s.started), 7)))
	s.hosts = append(s.hosts, h)

	return h
}

// local returns the time by h's clock.
func (s *sim) local(h *host) time.Time {
	return epoch.Add(time.Duration(float64(s.now) * h.rate))
}

// run advances the time by d and calls check after each step.
func (s *sim) run(d time.Duration, check func()) {
	for end := s.now + d; s.now < end; {
		s.now += step
		s.copies = append(s.copies, storeCopy{s.record, s.version.Revision()})
		s.serveOrphans()

		for _, h := range s.hosts {
			s.advance(h)
		}

		check()
	}
}

func (s *sim) serveOrphans() {
	for _, c := range s.orphans {
		if !c.served && s.now >= c.serveAt {
			s.serve(c)
		}
	}
}

// advance completes the pending call of h where due, and lets h start the next one.
func (s *sim) advance(h *host) {
	if c := h.pending; c != nil {
		if !c.served && s.now >= c.serveAt && !h.down {
			s.serve(c)
		}

		if s.now >= c.answerAt && !h.paused && !h.dead {
			h.pending = nil
			s.answer(h, c)
		}
	}

	if h.paused || h.dead || h.pending != nil {
		return
	}

	a := h.Tick(s.local(h), h.tick)
	if a == nil {
		return
	}

	s.calls++
	c := &call{action: a, serveAt: s.now, answerAt: s.now + step}

	if p, ok := a.(authority.Put); ok {
		if p.Expect.Era() < h.era {
			h.HandlePut(s.local(h), p, 0, platform.ErrConflict)

			return
		}

		c.serveAt += h.delay
		c.lost = h.lose

		if !c.lost {
			c.answerAt += h.delay
		}
	}

	h.pending = c
}

// serve performs c on the lease object.
func (s *sim) serve(c *call) {
	c.served = true
	c.record, c.version = s.record, s.version

	p, ok := c.action.(authority.Put)
	if !ok {
		return
	}

	if p.Expect.Revision() != s.version.Revision() {
		c.err = platform.ErrConflict

		return
	}

	s.version++
	s.record = p.Record
	c.version = s.version

	// The revision was given out again, and the client cannot tell what it has overwritten.
	if p.Expect.Era() != 0 && p.Expect.Era() != s.version.Era() {
		c.err = platform.ErrUnknown
	}
}

// answer passes the result of c to h's Machine.
func (s *sim) answer(h *host, c *call) {
	now := s.local(h)

	if c.served && !c.lost {
		h.era = max(h.era, c.version.Era())
	}

	p, ok := c.action.(authority.Put)
	if !ok {
		if !c.served {
			c.err = platform.ErrUnavailable
		}

		h.HandleGet(now, c.record, c.version, c.err)

		return
	}

	switch {
	case !c.served && c.lost:
		s.orphans = append(s.orphans, c)
		c.err = platform.ErrUnknown
	case !c.served:
		c.err = platform.ErrUnavailable
	case c.lost:
		c.err = platform.ErrUnknown
	}

	h.HandlePut(now, p, c.version, c.err)
}

// holders returns the hosts that hold the lease now, including paused ones.
func (s *sim) holders() []*host {
	var found []*host

	for _, h := range s.hosts {
		if !h.dead && h.Lease().Held(s.local(h)) {
			found = append(found, h)
		}
	}

	return found
}
