package usage_test

import (
	"encoding/json"
	"flag"
	"maps"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/dotterelflow/dotterelflow/internal/control/duties"
	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/control/usage"
	"github.com/dotterelflow/dotterelflow/internal/wire/platform"
)

const (
	window = 5 * time.Second
	due    = 10 * time.Second
	tick   = 100 * time.Millisecond
)

var epoch = time.Unix(1_700_000_000, 0)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "400")

	os.Exit(m.Run())
}

// lease is a lease as authority and rolecontrol keep it: one holder at a time, a higher fence for each.
type lease struct {
	holder *host
	fence  entity.Fence
}

// store holds the plan, with conditional writes.
type store struct {
	value   []byte
	version platform.Version
	away    bool
	writes  int
	copies  []storeCopy // of each step
}

// storeCopy is the state of the store at one time.
type storeCopy struct {
	value    []byte
	revision uint64
}

// write does what platform/store does: the store compares the revision alone, and its client finds out that the era is another one.
func (s *store) write(expect platform.Version, value []byte) (platform.Version, error) {
	if s.version.Revision() != expect.Revision() {
		return 0, platform.ErrConflict
	}

	s.version++
	s.value = value
	s.writes++

	if expect.Era() != s.version.Era() {
		return 0, platform.ErrUnknown
	}

	return s.version, nil
}

// drill brings the store back from its copy of the given age, in the next era.
func (s *store) drill(age time.Duration) {
	c := storeCopy{s.value, s.version.Revision()}
	if n := len(s.copies); n > 0 {
		c = s.copies[max(n-1-int(age/tick), 0)]
	}

	s.value, s.version, s.copies = c.value, platform.VersionAt(s.version.Era()+1, c.revision), nil
}

// sent is a report that the platform has received.
type sent struct {
	at   time.Time
	host *host
	usage.Send
}

// host is a Reporter whose actions take time and may be interrupted.
type host struct {
	*world
	*usage.Reporter
	id         entity.HostID
	frozen     bool
	dead       bool
	pending    usage.Action // an action whose call has not reached the store or the platform yet
	loseAnswer bool         // of the next call
	lateWrite  bool         // the next write gets no answer and takes effect later
	sums       uint64       // number of times that counts were taken
}

// world is a few hosts with one lease, one store and one platform.
type world struct {
	now      time.Duration // since epoch
	hosts    []*host
	lease    lease
	store    store
	late     []func() // writes that take effect later
	busy     bool     // the platform refuses calls
	received []sent
	missed   map[duties.Window]bool
}

func newWorld(n int) *world {
	w := &world{missed: map[duties.Window]bool{}}
	for range n {
		w.start()
	}

	return w
}

func (w *world) start() *host {
	h := &host{world: w, id: entity.HostID(rune('a' + len(w.hosts)))}
	h.Reporter = usage.NewReporter(usage.ReporterOptions{
		Window: window, Due: due,
		// No two results are equal, so a window that is decided twice has two reports.
		Sum: func(duties.Window) usage.Counts {
			h.sums++

			return usage.Counts{entity.AccountID(h.id): h.sums}
		},
		Missed: func(from, until duties.Window) {
			for ; from < until; from++ {
				w.missed[from] = true
			}
		},
	})
	w.hosts = append(w.hosts, h)

	return h
}

func (w *world) clock() time.Time { return epoch.Add(w.now) }

// holds reports whether h may send in the term t, as rolecontrol.Controller.Holds does.
func (h *host) holds(t duties.Term) bool { return h.lease.holder == h && t.Fence == h.lease.fence }

func (w *world) run(d time.Duration) {
	for end := w.now + d; w.now < end; w.now += tick {
		w.store.copies = append(w.store.copies, storeCopy{w.store.value, w.store.version.Revision()})

		for _, h := range w.hosts {
			if !h.frozen && !h.dead {
				h.step()
			}
		}
	}
}

// step begins an action, or ends the one that was begun. A frozen host may stay between the two for as long as it likes.
func (h *host) step() {
	if h.pending == nil {
		h.pending = h.Tick(h.clock(), duties.Term{Holder: h.id, Fence: h.lease.fence}, h.lease.holder == h)

		return
	}

	a := h.pending
	h.pending = nil

	switch a := a.(type) {
	case usage.Read:
		var p usage.Plan

		err := platform.ErrUnavailable
		if !h.store.away {
			_ = json.Unmarshal(h.store.value, &p)
			err = nil
		}

		h.HandleRead(h.clock(), p, h.store.version, err)
	case usage.Write:
		h.write(a)
	case usage.Send:
		if !h.holds(a.Term) {
			return // BeginCall
		}

		lost := h.loseAnswer
		h.loseAnswer = false

		if h.busy {
			h.HandleSend(h.clock(), a, duties.Throttled, nil)

			return
		}

		a.Report.Counts = maps.Clone(a.Report.Counts)
		h.received = append(h.received, sent{h.clock(), h, a})

		if lost {
			h.HandleSend(h.clock(), a, duties.Failed, platform.ErrUnknown)
		} else {
			h.HandleSend(h.clock(), a, duties.Accepted, nil)
		}
	}
}

func (h *host) write(a usage.Write) {
	value, _ := json.Marshal(a.Plan)

	switch {
	case h.store.away:
		h.HandleWrite(h.clock(), a, 0, platform.ErrUnavailable)
	case h.lateWrite:
		h.lateWrite = false
		h.late = append(h.late, func() { _, _ = h.store.write(a.Expect, value) })
		h.HandleWrite(h.clock(), a, 0, platform.ErrUnknown)
	case h.loseAnswer:
		h.loseAnswer = false
		_, _ = h.store.write(a.Expect, value)
		h.HandleWrite(h.clock(), a, 0, platform.ErrUnknown)
	default:
		version, err := h.store.write(a.Expect, value)
		h.HandleWrite(h.clock(), a, version, err)
	}
}

// hold gives the lease to h.
func (w *world) hold(h *host) { w.lease = lease{h, w.lease.fence + 1} }

// contradictions returns what the platform must never see.
func (w *world) contradictions() string {
	counts := map[duties.Window]usage.Counts{}
	fence := entity.Fence(0)

	for _, s := range w.received {
		if old, ok := counts[s.Report.Window]; ok && !maps.Equal(old, s.Report.Counts) {
			return "two reports of a window"
		}

		counts[s.Report.Window] = s.Report.Counts

		if s.Term.Fence < fence || s.Term.Holder != s.host.id {
			return "a fence that falls"
		}

		fence = s.Term.Fence

		if late := s.at.Sub(usage.EndOf(s.Report.Window, window)); late >= due || late < 0 {
			return "a report that is due or early"
		}
	}

	return ""
}

// reported returns the windows with a report.
func (w *world) reported() map[duties.Window]bool {
	list := map[duties.Window]bool{}
	for _, s := range w.received {
		list[s.Report.Window] = true
	}

	return list
}

func TestEachWindowIsReportedOnce(t *testing.T) {
	w := newWorld(2)
	w.hold(w.hosts[0])
	w.run(62 * time.Second)

	require.Empty(t, w.contradictions())
	require.Len(t, w.received, 10, "the first window has no report, the last two have not settled")
	require.Empty(t, w.missed)
	require.Equal(t, 11, w.store.writes, "one write a window")
}

// TestSuccessorSendsWhatWasRecorded brings a holder's freeze about between the record and the call. A successor that counted
// anew would send other figures, and the former holder sends nothing once it wakes.
func TestSuccessorSendsWhatWasRecorded(t *testing.T) {
	w := newWorld(2)
	a, b := w.hosts[0], w.hosts[1]
	w.hold(a)

	for len(w.received) == 0 {
		w.run(tick)
	}

	var frozen usage.Send

	for ok := false; !ok; {
		w.run(tick)

		frozen, ok = a.pending.(usage.Send)
	}

	a.frozen = true

	w.hold(b)
	w.run(time.Second)
	a.frozen = false
	w.run(time.Second)

	last := w.received[len(w.received)-1]
	require.Same(t, b, last.host)
	require.Equal(t, frozen.Report, last.Report)
	require.Empty(t, w.contradictions())
}

// TestNothingIsSentThatIsNotRecorded brings an outage of the store about. Windows that become due meanwhile have no report.
func TestNothingIsSentThatIsNotRecorded(t *testing.T) {
	w := newWorld(1)
	w.hold(w.hosts[0])
	w.run(21 * time.Second)

	before := len(w.received)
	w.store.away = true
	w.run(20 * time.Second)
	require.Len(t, w.received, before)

	w.store.away = false
	w.run(20 * time.Second)
	require.Empty(t, w.contradictions())
	require.NotEmpty(t, w.missed)

	for missed := range w.missed {
		require.NotContains(t, w.reported(), missed)
	}
}

// TestLostPlanLeadsToNoSecondReport removes the object, as an operator may.
func TestLostPlanLeadsToNoSecondReport(t *testing.T) {
	w := newWorld(2)
	w.hold(w.hosts[0])
	w.run(28 * time.Second)

	w.store.value, w.store.version = nil, 0
	w.run(20 * time.Second)
	w.hold(w.hosts[1])
	w.run(20 * time.Second)
	require.Empty(t, w.contradictions())
	require.Contains(t, w.reported(), usage.WindowAt(w.clock(), window)-2)
}

// TestWindowIsNotDecidedAgainAfterADrill guards against two reports of a window with different counts, once the store has lost the plan with
// the first one. The host that made it sends the same figures again, and another one passes the window over.
func TestWindowIsNotDecidedAgainAfterADrill(t *testing.T) {
	for name, stays := range map[string]bool{"the holder goes on": true, "another host follows": false} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(2)
			w.store.version = platform.VersionAt(1, 0)
			w.hold(w.hosts[0])
			w.run(28 * time.Second)

			decided := len(w.received)
			w.store.drill(4 * time.Second)

			next := w.hosts[1]
			if stays {
				next = w.hosts[0]
			}

			w.hold(next)
			w.run(30 * time.Second)
			require.Empty(t, w.contradictions())
			require.LessOrEqual(t, len(w.missed), 2, "the window under way and the one before it")
			require.Greater(t, len(w.reported()), decided)
		})
	}
}

// TestFencedHolderStops guards against a holder that calls on under a fence that was refused.
func TestFencedHolderStops(t *testing.T) {
	w := newWorld(1)
	h := w.hosts[0]
	w.hold(h)

	term := duties.Term{Holder: h.id, Fence: 1}
	plan := usage.Plan{Length: window, Next: usage.WindowAt(epoch, window), Intents: []usage.Intent{{Window: usage.WindowAt(epoch, window) - 1}}}

	require.IsType(t, usage.Read{}, h.Tick(epoch, term, true))
	h.HandleRead(epoch, plan, 1, nil)

	s, ok := h.Tick(epoch, term, true).(usage.Send)
	require.True(t, ok)
	h.HandleSend(epoch, s, duties.Fenced, nil)

	for d := time.Duration(0); d < time.Minute; d += tick {
		require.Nil(t, h.Tick(epoch.Add(d), term, true))
	}

	require.NotNil(t, h.Tick(epoch.Add(time.Minute), duties.Term{Holder: h.id, Fence: 2}, true))
}

// TestOneReportOfAWindowThroughAnyTroubles plays random faults: holders that die, freeze at any point and wake, take turns, lose answers
// of the store or of the platform; writes that take effect late; outages of both. After them, reports go on.
func TestOneReportOfAWindowThroughAnyTroubles(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newWorld(3)
		w.hold(w.hosts[0])

		faults := rapid.IntRange(1, 40).Draw(rt, "faults")
		for range faults {
			w.run(time.Duration(rapid.IntRange(0, 40).Draw(rt, "wait")) * tick)

			h := w.hosts[rapid.IntRange(0, len(w.hosts)-1).Draw(rt, "host")]

			switch rapid.SampledFrom([]string{
				"hold", "lapse", "freeze", "thaw", "kill", "lose", "late", "apply", "away", "back", "busy", "calm", "drill",
			}).Draw(rt, "fault") {
			case "hold":
				w.hold(h)
			case "lapse":
				w.lease.holder = nil
			case "freeze":
				h.frozen = true
			case "thaw":
				h.frozen = false
			case "kill":
				h.dead = true

				w.start()
			case "lose":
				h.loseAnswer = true
			case "late":
				h.lateWrite = true
			case "apply":
				for _, apply := range w.late {
					apply()
				}

				w.late = nil
			case "away":
				w.store.away = true
			case "back":
				w.store.away = false
			case "busy":
				w.busy = true
			case "calm":
				w.busy = false
			case "drill":
				w.store.drill(time.Duration(rapid.IntRange(0, 80).Draw(rt, "age")) * tick)
			}
		}

		w.store.away, w.busy = false, false
		h := w.start()
		w.hold(h)
		w.run(60 * time.Second)

		if problem := w.contradictions(); problem != "" {
			rt.Fatal(problem)
		}

		for back := duties.Window(2); back < 8; back++ {
			if k := usage.WindowAt(w.clock(), window) - back; !w.reported()[k] {
				rt.Fatalf("no report of window %d, %d windows ago, in calm", k, back)
			}
		}
	})
}
