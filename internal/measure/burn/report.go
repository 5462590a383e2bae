package burn

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/dotterelflow/dotterelflow/internal/control/table"
)

const (
	// defaultGood is the objective of a kind that states none.
	defaultGood = 0.99
	// fastBurn uses up a thirtieth of a three-day budget in six minutes.
	fastBurn   = 14.4
	steadyBurn = 6.0
	slowBurn   = 1.0

	defaultMaxSeries = 100
)

// State says how urgent a series' burn is. The zero value is OK.
type State uint8

const (
	// OK series keep their objective.
	OK State = iota
	// Recovering series have missed it over three days but do so no longer.
	Recovering
	// Slow series will miss it if nothing changes.
	Slow
	// Steady series use up the budget of three days within half a day.
	Steady
	// Fast series use it up within five hours.
	Fast
)

var stateNames = []string{"ok", "recovering", "slow", "steady", "fast"}

// String returns the kebab-case name of s.
func (s State) String() string { return stateNames[int(s)%len(stateNames)] }

// MarshalText encodes s as its name.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText decodes a name of a state and fails on any other text.
func (s *State) UnmarshalText(text []byte) error {
	i := slices.Index(stateNames, string(text))
	if i < 0 {
		return Error.New("unknown state %q", text)
	}

	*s = State(i)

	return nil
}

// Report is the answer of the operator API at /v1/burn. Accounts come worst first.
type Report struct {
	At       time.Time          `json:"at"`
	Hosts    int                `json:"hosts"`             // whose unsaved counts are in it
	Silent   []table.HostID     `json:"silent,omitempty"`  // live hosts that did not answer
	Missing  []table.DataCentre `json:"missing,omitempty"` // whose saved counts could not be read
	Series   []Series           `json:"series"`
	Omitted  int                `json:"omitted,omitempty"` // series beyond the bound, all better
	Good     uint64             `json:"good"`              // over three days, all series
	Bad      uint64             `json:"bad"`
	Accounts int                `json:"accounts"` // with any request in three days
}

// Series is the burn of one kind of one client account.
type Series struct {
	Key
	Objective float64       `json:"objective"` // share of requests that must be good
	State     State         `json:"state"`
	Since     time.Time     `json:"since,omitzero"` // when the burn began, to the width of a bucket
	Windows   []Window      `json:"windows"`        // shortest first
	Span      time.Duration `json:"span"`           // that Causes are counted over, in nanoseconds
	Causes    []Cause       `json:"causes,omitempty"`
	History   []Point       `json:"history,omitempty"` // six hours by the hour, then the last hour
}

// Window is the burn over one span. Burn is the share of bad requests divided by the share that the
// objective allows: at 1 the budget is just used up.
type Window struct {
	Span time.Duration `json:"span"` // nanoseconds
	Good uint64        `json:"good"`
	Bad  uint64        `json:"bad"`
	Burn float64       `json:"burn"`
}

// Cause counts the bad requests of one kind of event over the window that the state rests on.
type Cause struct {
	Event Event  `json:"event"`
	Count uint64 `json:"count"`
}

// Point is the burn from At on, to the next point.
type Point struct {
	At   time.Time `json:"at"`
	Burn float64   `json:"burn"`
}

// ReportOptions state what a report is made with. The zero value is usable.
type ReportOptions struct {
	// Objective returns the share of requests of k that must be good; zero takes the default.
	Objective func(k Key) float64
	// MaxSeries bounds the series of the report.
	MaxSeries int
}

// Objectives returns the objectives of a configuration for ReportOptions.
func Objectives(s *table.Snapshot) func(Key) float64 {
	return func(k Key) float64 {
		a, ok := s.Account(k.Account)
		if !ok {
			return 0
		}

		return a.Kinds[k.Kind].Objective.Good
	}
}

// Report computes the burn of all that l has counted, as of now.
func (l *Ledger) Report(now time.Time, o ReportOptions) Report {
	l.mu.Lock()
	defer l.mu.Unlock()

	if o.MaxSeries <= 0 {
		o.MaxSeries = defaultMaxSeries
	}

	r := Report{At: now, Series: []Series{}}
	accounts := make(map[table.AccountID]struct{})

	for k, s := range l.series {
		line := newSeries(now, k, s, o)
		total := line.Windows[windowCount-1]

		if total.Good+total.Bad == 0 {
			continue
		}

		accounts[k.Account] = struct{}{}
		r.Good += total.Good
		r.Bad += total.Bad
		r.Series = append(r.Series, line)
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
	line := Series{Key: k, Objective: defaultGood}

	if o.Objective != nil {
		if good := o.Objective(k); good > 0 {
			line.Objective = good
		}
	}

	var counts [windowCount][eventCount]uint64

	for i, w := range windows {
		counts[i] = sum(s[i], w, now)
		line.Windows = append(line.Windows, newWindow(w.span, &counts[i], line.Objective))
	}

	line.State = state(line.Windows)
	shown := stateWindow(line.State)
	line.Span, line.Causes = windows[shown].span, causes(&counts[shown])

	if line.State > OK {
		line.Since = since(now, s, line.Objective)
		line.History = history(now, s, line.Objective)
	}

	return line
}

// sum adds up the buckets of window w at now.
func sum(list []bucket, w window, now time.Time) (counts [eventCount]uint64) {
	for i := range list {
		if list[i].Slot+w.buckets() <= w.slot(now) {
			continue
		}

		for e, n := range list[i].Counts {
			counts[e] += uint64(n)
		}
	}

	return counts
}

// stateWindow returns the index of the long window that a state rests on.
func stateWindow(s State) int {
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

// maxBurn stands for the burn of an objective that allows no bad request at all.
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

// state judges by a long and a short window together, so that it neither rests on a moment nor
// lasts long after the end.
func state(w []Window) State {
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
