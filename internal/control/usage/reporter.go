package usage

import (
	"errors"
	"slices"
	"time"

	"github.com/dotterelflow/dotterelflow/internal/control/duties"
	"github.com/dotterelflow/dotterelflow/internal/wire/platform"
)

const (
	// settleTime is the time after the end of a window in which its counts reach the holder: two messages, each repeated once.
	settleTime = 2 * time.Second
	// settleDivisor divides the time until a report is due: it settles no longer, so that a successor has time left.
	settleDivisor = 4
	// retryInterval is the time after a call that failed until the next one.
	retryInterval = time.Second
	// sendMargin is the time before a report is due from which it is not sent any more: it might arrive too late.
	sendMargin = 250 * time.Millisecond
	// maxDecided bounds the windows that one write decides, after a time without a holder.
	maxDecided = 16
)

// Intent is the report of one window as it is sent, always with the same counts.
type Intent struct {
	Window duties.Window `json:"window"`
	Counts Counts        `json:"counts"`
	Sent   bool          `json:"sent,omitempty"` // the platform has accepted it
}

// Plan is what the holders have decided; it is the value of an object in the platform's store.
type Plan struct {
	Length  time.Duration `json:"length-ns"`     // length of a window
	Next    duties.Window `json:"next"`          // first window that is not decided
	Era     uint64        `json:"era,omitempty"` // era of the store in which the plan was written
	Intents []Intent      `json:"reports,omitempty"`
}

// Read is the action to read the plan.
type Read struct{}

// Write is the action to write Plan if the object in the store still has the version Expect.
type Write struct {
	Expect platform.Version
	Plan   Plan
}

// Send is the action to send Report in the term Term.
type Send struct {
	Term   duties.Term
	Report duties.Report
}

// Action is a Read, a Write or a Send; nil means nothing to do. The caller must perform it and pass the result to HandleRead,
// HandleWrite or HandleSend before the next Tick.
type Action interface{ action() }

func (Read) action()  {}
func (Write) action() {}
func (Send) action()  {}

// ReporterOptions configure a Reporter. All fields are required.
type ReporterOptions struct {
	Window time.Duration                   // length of a window
	Due    time.Duration                   // time from the end of a window until its report is due
	Sum    func(w duties.Window) Counts    // the counts of w, as far as they are known
	Missed func(from, until duties.Window) // called for windows that are passed over; until is not one of them
}

// Reporter decides when the holder of the lease records and sends reports. It is not safe for concurrent use.
//
// A report is sent only once it is known to be in the store, and a window is decided only by a write whose condition says that it was not
// decided before. So there is one set of counts for a window, whoever sends it and however often.
type Reporter struct {
	opts ReporterOptions

	term    duties.Term
	fenced  bool // a later holder has sent reports
	known   bool // plan and version are those in the store, as far as this host knows
	plan    Plan
	version platform.Version
	made    []Intent  // of the last plan that this host has written, whoever holds the lease now
	next    time.Time // earliest time of the next action
}

// NewReporter returns a Reporter that has not read the plan yet.
func NewReporter(opts ReporterOptions) *Reporter { return &Reporter{opts: opts} }

// Tick returns the next action at now, by a Clock, or nil if there is none. held reports whether this host may send in the term t.
func (r *Reporter) Tick(now time.Time, t duties.Term, held bool) Action {
	if !held {
		r.term, r.known = duties.Term{}, false

		return nil
	}

	if t != r.term {
		r.term, r.fenced, r.known, r.next = t, false, false, time.Time{}
	}

	switch {
	case r.fenced || now.Before(r.next):
		return nil
	case !r.known:
		return Read{}
	case r.version.Revision() == 0 || r.plan.Length != r.opts.Window:
		// Nobody can have sent a report of a window that has not ended. The next one allows for clocks that differ.
		return Write{r.version, Plan{Length: r.opts.Window, Next: WindowAt(now, r.opts.Window) + 1, Era: r.version.Era()}}
	case r.plan.Era < r.version.Era():
		return Write{r.version, r.recover(now)}
	}

	for _, i := range r.plan.Intents {
		if !i.Sent && !r.isDue(now, i.Window) {
			return Send{r.term, duties.Report{Window: i.Window, Counts: i.Counts}}
		}
	}

	if r.hasSettled(now, r.plan.Next) {
		return Write{r.version, r.decide(now)}
	}

	return nil
}

// isDue reports whether it is too late at now to send the report of w.
func (r *Reporter) isDue(now time.Time, w duties.Window) bool {
	return !now.Before(EndOf(w, r.opts.Window).Add(r.opts.Due - sendMargin))
}

// hasSettled reports whether the counts of w have reached this host.
func (r *Reporter) hasSettled(now time.Time, w duties.Window) bool {
	return !now.Before(EndOf(w, r.opts.Window).Add(min(settleTime, r.opts.Due/settleDivisor)))
}

// recover returns the plan for a store that has come back from an older copy since r.plan was written, and may have lost later plans. A
// window that has ended may have been reported by one of them, with counts that only the host that wrote it may know.
func (r *Reporter) recover(now time.Time) Plan {
	p := Plan{Length: r.plan.Length, Next: max(r.plan.Next, WindowAt(now, r.opts.Window)+1), Era: r.version.Era()}

	for _, i := range r.plan.Intents {
		if !r.isDue(now, i.Window) {
			p.Intents = append(p.Intents, i)
		}
	}

	next := r.plan.Next

	for _, i := range r.made {
		if i.Window < next || r.isDue(now, i.Window) {
			continue
		}

		if i.Window > next {
			r.opts.Missed(next, i.Window)
		}

		p.Intents = append(p.Intents, i)
		next = i.Window + 1
	}

	if next < p.Next {
		r.opts.Missed(next, p.Next)
	}

	return p
}

// decide returns the plan with the reports of the windows that have settled. It keeps those that can still be sent.
func (r *Reporter) decide(now time.Time) Plan {
	p := Plan{Length: r.plan.Length, Next: r.plan.Next, Era: r.plan.Era}

	for _, i := range r.plan.Intents {
		if !r.isDue(now, i.Window) {
			p.Intents = append(p.Intents, i)
		}
	}

	// The first window that can still be sent.
	first := WindowAt(now.Add(sendMargin-r.opts.Due), r.opts.Window)
	for r.isDue(now, first) {
		first++
	}

	if first > p.Next {
		r.opts.Missed(p.Next, first)
		p.Next = first
	}

	for n := 0; n < maxDecided && r.hasSettled(now, p.Next); n++ {
		p.Intents = append(p.Intents, Intent{Window: p.Next, Counts: r.opts.Sum(p.Next)})
		p.Next++
	}

	return p
}

// HandleRead handles the result of a Read; version is zero if there is no object.
func (r *Reporter) HandleRead(now time.Time, p Plan, version platform.Version, err error) {
	if err != nil {
		r.next = now.Add(retryInterval)

		return
	}

	r.plan, r.version, r.known = p, version, true
}

// HandleWrite handles the result of w.
func (r *Reporter) HandleWrite(now time.Time, w Write, version platform.Version, err error) {
	if err == nil {
		r.plan, r.version, r.made = w.Plan, version, w.Plan.Intents

		return
	}

	// Whatever the error was, a read shows what is in the store.
	r.known = false

	if !errors.Is(err, platform.ErrConflict) && !errors.Is(err, platform.ErrUnknown) {
		r.next = now.Add(retryInterval)
	}
}

// HandleSend handles the result of s. After an error the platform may have received it, or may still do so.
func (r *Reporter) HandleSend(now time.Time, s Send, result duties.Result, err error) {
	switch {
	case err != nil:
		r.next = now.Add(retryInterval)
	case result == duties.Accepted:
		if i := slices.IndexFunc(r.plan.Intents, func(i Intent) bool { return i.Window == s.Report.Window }); i >= 0 {
			r.plan.Intents[i].Sent = true
		}
	case result == duties.Fenced:
		r.fenced = true
	default:
		r.next = now.Add(retryInterval)
	}
}

// Intents returns the reports that were decided last and can still be sent.
func (r *Reporter) Intents() []Intent { return r.plan.Intents }
