package routing

import (
	"cmp"
	"time"

	"github.com/dotterelflow/dotterelflow/internal/control/table"
)

// State says whether a target may get new work. The zero value is Usable.
type State uint8

const (
	// Usable targets take new work.
	Usable State = iota
	// Changing targets carry out an order.
	Changing
	// Quarantined targets were set aside after failures.
	Quarantined
	// Unknown targets have not answered since a crash or an open order.
	Unknown
)

// Target is what the control goroutine knows of one target. A zero Load means no report yet.
type Target struct {
	table.Target
	Load  table.Load
	State State
}

// Options describe a View. A zero field takes its default.
type Options struct {
	Now        time.Time
	Home       table.DataCentre // where this entry host is
	Hosts      int              // live entry hosts; 1 by default
	StaleAfter time.Duration    // age at which a load report is ignored; 5 s by default
	Ledger     *Ledger          // own work in flight; none by default
	Prefixes   *Prefixes        // no prefix reuse by default
	Local      bool             // choose within the data centre of origin only

	// Distance is the one-way delay between two data centres; nil means 1.5 ms.
	Distance func(from, to table.DataCentre) time.Duration
}

const (
	defaultStaleAfter = 5 * time.Second
	defaultDistance   = 1500 * time.Microsecond
	defaultRate       = 1000 // tokens per second of a target that states none
	defaultSlots      = 16
)

// entry is one usable target.
type entry struct {
	id          table.TargetID
	dc          int
	role        table.Role
	prefillRate float64 // tokens per second
	decodeRate  float64
	slots       float64
	reported    amounts
	base        amounts // sent by this host before the report
	flight      *Flight
	share       int64 // factor on own work that stands for the other hosts' when no report does
}

// groupKey names targets that can run the same part of the same work.
type groupKey struct {
	model   table.Model
	service table.ServiceName
	phase   Phase
}

// group indexes View.entries.
type group struct {
	all  []int32
	near [][]int32 // by data centre
}

// View is an immutable view of the targets. Build makes it; a nil *View has no targets.
type View struct {
	entries  []entry
	index    map[table.TargetID]int32
	groups   map[groupKey]*group
	centres  []table.DataCentre
	distance [][]float64 // seconds one way
	home     int
	prefixes *Prefixes
	local    bool
}

// Build makes a View of the targets that may get new work. It keeps nothing of targets.
func Build(opt Options, targets []Target) *View {
	opt.Hosts = max(opt.Hosts, 1)
	opt.StaleAfter = cmp.Or(opt.StaleAfter, defaultStaleAfter)

	v := &View{
		entries:  make([]entry, 0, len(targets)),
		index:    make(map[table.TargetID]int32, len(targets)),
		groups:   make(map[groupKey]*group),
		prefixes: opt.Prefixes,
		local:    opt.Local,
	}
	v.home = v.centre(opt.Home)

	for i := range targets {
		v.centre(targets[i].DataCentre)
	}

	for i := range targets {
		t := &targets[i]
		if t.Leaving || t.State != Usable || t.Load.Changing {
			continue
		}

		v.add(opt, t)
	}

	v.measure(opt.Distance)

	return v
}

// Len returns the number of targets that may get new work.
func (v *View) Len() int {
	if v == nil {
		return 0
	}

	return len(v.entries)
}

// centre returns the index of dc and adds it if it is new.
func (v *View) centre(dc table.DataCentre) int {
	for i, c := range v.centres {
		if c == dc {
			return i
		}
	}

	v.centres = append(v.centres, dc)

	return len(v.centres) - 1
}

func (v *View) measure(distance func(from, to table.DataCentre) time.Duration) {
	v.distance = make([][]float64, len(v.centres))

	for i, from := range v.centres {
		v.distance[i] = make([]float64, len(v.centres))

		for j, to := range v.centres {
			if i == j {
				continue
			}

			d := defaultDistance
			if distance != nil {
				d = distance(from, to)
			}

			v.distance[i][j] = d.Seconds()
		}
	}
}

func (v *View) add(opt Options, t *Target) {
	e := entry{
		id:          t.ID,
		dc:          v.centre(t.DataCentre),
		role:        t.Role,
		prefillRate: float64(cmp.Or(t.PrefillRate, defaultRate)),
		decodeRate:  float64(cmp.Or(t.DecodeRate, defaultRate)),
		slots:       float64(cmp.Or(t.Slots, defaultSlots)),
		share:       1,
	}

	if opt.Ledger == nil {
		e.flight = &Flight{}
	} else {
		e.flight = opt.Ledger.Flight(t.ID)
	}

	fresh := !t.Load.At.IsZero() && opt.Now.Sub(t.Load.At) <= opt.StaleAfter
	if fresh {
		e.role = t.Load.Role
		e.reported = amounts{
			open:    int64(t.Load.Running + t.Load.Queued),
			prefill: int64(t.Load.PrefillPending),
			decode:  int64(t.Load.DecodePending),
		}
		e.base = e.flight.sentBy(opt.Now, t.Load.At)
	} else {
		e.share = int64(opt.Hosts)
	}

	n := int32(len(v.entries))
	v.entries = append(v.entries, e)
	v.index[t.ID] = n

	for _, p := range phases(t.Type, e.role) {
		v.join(groupKey{model: t.Model, service: t.Service, phase: p}, e.dc, n)
	}
}

func (v *View) join(k groupKey, dc int, n int32) {
	g, ok := v.groups[k]
	if !ok {
		g = &group{all: make([]int32, 0, cap(v.entries)), near: make([][]int32, len(v.centres))}
		v.groups[k] = g
	}

	g.all = append(g.all, n)
	g.near[dc] = append(g.near[dc], n)
}

// phases returns the parts that a target runs.
func phases(kind table.TargetType, role table.Role) []Phase {
	switch {
	case kind == table.Service:
		return []Phase{Whole}
	case role == table.Prefill:
		return []Phase{Prefill}
	case role == table.Decode:
		return []Phase{Decode}
	default:
		return []Phase{Whole, Prefill, Decode}
	}
}
