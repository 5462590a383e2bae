package burnrate

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
)

const (
	// defaultGood is the share of good requests that a kind without a configured objective must reach.
	defaultGood = 0.99
	// At fastBurn the error budget of three days is used up in 5 hours, at steadyBurn in 12 hours, and
	// at slowBurn in just three days.
	fastBurn   = 14.4
	steadyBurn = 6.0
	slowBurn   = 1.0

	defaultMaxSeries = 100
)

// State grades the burn of a series by urgency. The zero value is OK.
type State uint8

const (
	// OK series meet their objective.
	OK State = iota
	// Recovering series missed their objective over the last three days but no longer do.
	Recovering
	// Slow series will miss their objective if nothing changes.
	Slow
	// Steady series use up the error budget of three days within half a day.
	Steady
	// Fast series use up the error budget of three days within five hours.
	Fast
)

var stateNames = []string{"ok", "recovering", "slow", "steady", "fast"}

// String returns the kebab-case name of s.
func (s State) String() string { return stateNames[int(s)%len(stateNames)] }

// MarshalText encodes s as its name.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText decodes the name of a state. Any other text is an error.
func (s *State) UnmarshalText(text []byte) error {
	i := slices.Index(stateNames, string(text))
	if i < 0 {
		return Error.New("unknown state %q", text)
	}

	*s = State(i)

	return nil
}

// Report is the answer of the operator API at /v1/burn. Series are sorted worst first.
type Report struct {
	At       time.Time           `json:"at"`
	Hosts    int                 `json:"hosts"`             // live hosts whose unsaved counts are included
	Silent   []entity.HostID     `json:"silent,omitempty"`  // live hosts that did not answer
	Missing  []entity.DataCentre `json:"missing,omitempty"` // data centres whose saved counts could not be read
	Series   []Series            `json:"series"`
	Omitted  int                 `json:"omitted,omitempty"` // series left out due to MaxSeries, all better than those listed
	Good     uint64              `json:"good"`              // good requests of all series in three days
	Bad      uint64              `json:"bad"`               // bad requests of all series in three days
	Accounts int                 `json:"accounts"`          // client accounts with a request in three days
}

// Series is the burn of one request kind of one client account.
type Series struct {
	Key
	Objective float64       `json:"objective"` // share of requests that must be good
	State     State         `json:"state"`
	Since     time.Time     `json:"since,omitzero"`    // start of the burn, to the precision of a bucket; zero for OK
	Windows   []Window      `json:"windows"`           // shortest first
	CauseSpan time.Duration `json:"span"`              // span over which Causes are counted, in nanoseconds
	Causes    []Cause       `json:"causes,omitempty"`  // most frequent first
	History   []Point       `json:"history,omitempty"` // last six hours: hourly, then the last hour by ten minutes; empty for OK
}

// Window is the burn over one span. Burn is the burn rate: the share of bad requests divided by the
// share that the objective allows. At 1, the error budget of the span is just used up.
type Window struct {
	Span time.Duration `json:"span"` // nanoseconds
	Good uint64        `json:"good"`
	Bad  uint64        `json:"bad"`
	Burn float64       `json:"burn"`
}

// Cause counts the bad requests with one event over Series.CauseSpan.
type Cause struct {
	Event Event  `json:"event"`
	Count uint64 `json:"count"`
}

// Point is the burn rate from At until the next point.
type Point struct {
	At   time.Time `json:"at"`
	Burn float64   `json:"burn"`
}

// ReportOptions configure a report. The zero value is usable.
type ReportOptions struct {
	// Objective returns the share of requests of k that must be good. A nil function, and a result of
	// zero, stand for the default of 0.99.
	Objective func(k Key) float64
	// MaxSeries bounds the number of series in the report; zero means 100.
	MaxSeries int
}

// Objectives returns a function for ReportOptions.Objective that looks objectives up in s. It returns
// zero for unknown accounts and kinds.
func Objectives(s *entity.Snapshot) func(Key) float64 {
	return func(k Key) float64 {
		a, ok := s.Account(k.Account)
		if !ok {
			return 0
		}

		return a.Kinds[k.Kind].Objective.Good
	}
}

// Report computes the burn of all series of l as of now. Series without a request in three days are
// left out.
func (l *Ledger) Report(now time.Time, o ReportOptions) Report {
	l.mu.Lock()
	defer l.mu.Unlock()

	if o.MaxSeries <= 0 {
		o.MaxSeries = defaultMaxSeries
	}

	r := Report{At: now, Series: []Series{}}
	accounts := make(map[entity.AccountID]struct{})

	for k, s := range l.series {
		entry := newSeries(now, k, s, o)
		total := entry.Windows[windowCount-1]

		if total.Good+total.Bad == 0 {
			continue
		}

		accounts[k.Account] = struct{}{}
		r.Good += total.Good
		r.Bad += total.Bad
		r.Series = append(r.Series, entry)
	}

	r.Accounts = len(accounts)
	slices.SortFunc(r.Series, worstFirst)

	if len(r.Series) > o.MaxSeries {
		r.Omitted = len(r.Series) - o.MaxSeries
		r.Series = r.Series[:o.MaxSeries]
	}

	return r
}

func worstFirst(a, b Series) int {
	if a.State != b.State {
		return cmp.Compare(b.State, a.State)
	}

	for w := range a.Windows {
		if c := cmp.Compare(b.Windows[w].Burn, a.Windows[w].Burn); c != 0 {
			return c
		}
	}

	return cmp.Or(cmp.Compare(a.Account, b.Account), cmp.Compare(a.Kind, b.Kind))
}

func newSeries(now time.Time, k Key, s *series, o ReportOptions) Series {
	entry := Series{Key: k, Objective: defaultGood}

	if o.Objective != nil {
		if good := o.Objective(k); good > 0 {
			entry.Objective = good
		}
	}

	var counts [windowCount][eventCount]uint64

	for i, w := range windows {
		counts[i] = countsInWindow(s[i], w, now)
		entry.Windows = append(entry.Windows, newWindow(w.span, &counts[i], entry.Objective))
	}

	entry.State = stateOf(entry.Windows)
	causesFrom := causeWindow(entry.State)
	entry.CauseSpan, entry.Causes = windows[causesFrom].span, causes(&counts[causesFrom])

	if entry.State > OK {
		entry.Since = since(now, s, entry.Objective)
		entry.History = history(now, s, entry.Objective)
	}

	return entry
}

// countsInWindow returns the sum of the buckets in list that lie in window w at now.
func countsInWindow(list []bucket, w window, now time.Time) (counts [eventCount]uint64) {
	for i := range list {
		if list[i].Slot+w.bucketCount() <= w.slot(now) {
			continue
		}

		for e, n := range list[i].Counts {
			counts[e] += uint64(n)
		}
	}

	return counts
}

// causeWindow returns the index of the window that the causes of a series in state s are counted over.
func causeWindow(s State) int {
	switch s {
	case Fast:
		return 1
	case Steady, Slow:
		return 2
	default:
		return 3
	}
}

func newWindow(span time.Duration, counts *[eventCount]uint64, objective float64) Window {
	win := Window{Span: span, Good: counts[Good]}
	for _, n := range counts[Good+1:] {
		win.Bad += n
	}

	win.Burn = burnRate(win.Good, win.Bad, objective)

	return win
}

// maxBurn is the burn rate after a bad request if the objective allows none. Without bad requests the burn rate is 0.
const maxBurn = 1e6

func burnRate(good, bad uint64, objective float64) float64 {
	if bad == 0 {
		return 0
	}

	share := float64(bad) / float64(good+bad)
	if objective >= 1 {
		return maxBurn
	}

	return math.Round(share/(1-objective)*100) / 100
}

func causes(counts *[eventCount]uint64) []Cause {
	var list []Cause

	for e := Good + 1; e < eventCount; e++ {
		if counts[e] > 0 {
			list = append(list, Cause{e, counts[e]})
		}
	}

	slices.SortStableFunc(list, func(a, b Cause) int { return cmp.Compare(b.Count, a.Count) })

	return list
}

// stateOf returns the state of a series with the burn rates of w. Fast, Steady and Slow require both a long
// and a short window to reach a threshold: the long window filters out short spikes, and the short one
// ends the state soon after the burn ends.
func stateOf(w []Window) State {
	short, hour, sixHours, days := w[0].Burn, w[1].Burn, w[2].Burn, w[3].Burn

	switch {
	case hour >= fastBurn && short >= fastBurn:
		return Fast
	case sixHours >= steadyBurn && hour >= steadyBurn:
		return Steady
	case days >= slowBurn && sixHours >= slowBurn, hour >= slowBurn && short >= slowBurn:
		return Slow
	case days >= slowBurn:
		return Recovering
	default:
		return OK
	}
}
