package routing

import (
	"cmp"
	"time"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
)

// State is whether a target may get new work. The zero value is Usable.
type State uint8

const (
	// Usable targets accept new work.
	Usable State = iota
	// Changing targets are executing an order.
	Changing
	// Quarantined targets have failed and get no work.
	Quarantined
	// Unknown targets have not answered since a crash or since an order that is still open.
	Unknown
)

// Target is the state of one target as seen by the control goroutine. A zero Load means no report yet.
type Target struct {
	entity.Target
	Load  entity.Load
	State State
}

// Options are the parameters of a View. Zero fields have defaults.
type Options struct {
	Now        time.Time
	Home       entity.DataCentre // data centre of this entry host
	Hosts      int               // number of live entry hosts; 1 by default
	StaleAfter time.Duration     // age above which the amounts of a load report are ignored; 5 s by default
	Ledger     *Ledger           // work of this host in flight; not counted by default
	Prefixes   *Prefixes         // targets that have a prompt prefix cached; no prefix reuse by default
	Local      bool              // choose only within the data centre of the request

	// Distance returns the one-way delay between two data centres; nil means 1.5 ms.
	Distance func(from, to entity.DataCentre) time.Duration
}

const (
	defaultStaleAfter = 5 * time.Second
	defaultDistance   = 1500 * time.Microsecond // one-way network delay
	defaultRate       = 1000                    // tokens per second of a target without a configured rate
	defaultSlots      = 16                      // slots of a target without a configured number
)

// entry is one usable target.
type entry struct {
	id          entity.TargetID
	dc          int // index in View.centres
	role        entity.Role
	prefillRate float64 // prompt tokens per second
	decodeRate  float64 // output tokens per second
	slots       float64
	reported    amounts // load by the last report; zero if there is no fresh one
	base        amounts // totals that this host had sent by the time of the report
	flight      *Flight
	// ownFactor is the factor on this host's work: without a fresh report the number of hosts, to stand for the work of
	// all hosts, otherwise 1.
	ownFactor int64
}

// groupKey identifies the targets that can run the same phase of the same model or service.
type groupKey struct {
	model   entity.Model
	service entity.ServiceName
	phase   Phase
}

// group holds the indexes in View.entries of the targets of one groupKey.
type group struct {
	all      []int32
	byCentre [][]int32 // the same indexes by data centre, in the order of View.centres
}

// View is an immutable view of the targets. Make it with Build; a nil *View has no targets.
type View struct {
	entries  []entry
	index    map[entity.TargetID]int32 // indexes in entries
	groups   map[groupKey]*group
	centres  []entity.DataCentre
	distance [][]float64 // one-way network delay in seconds, by the indexes of both data centres
	home     int         // index of this host's data centre
	prefixes *Prefixes
	local    bool
}

// Build returns a View of the targets that may get new work. It does not retain targets.
func Build(opt Options, targets []Target) *View {
	opt.Hosts = max(opt.Hosts, 1)
	opt.StaleAfter = cmp.Or(opt.StaleAfter, defaultStaleAfter)

	v := &View{
		entries:  make([]entry, 0, len(targets)),
		index:    make(map[entity.TargetID]int32, len(targets)),
		groups:   make(map[groupKey]*group),
		prefixes: opt.Prefixes,
		local:    opt.Local,
	}
	v.home = v.addCentre(opt.Home)

	for i := range targets {
		v.addCentre(targets[i].DataCentre)
	}

	for i := range targets {
		t := &targets[i]
		if t.Leaving || t.State != Usable || t.Load.Changing {
			continue
		}

		v.add(opt, t)
	}

	v.setDistances(opt.Distance)

	return v
}

// Len returns the number of targets that may get new work.
func (v *View) Len() int {
	if v == nil {
		return 0
	}

	return len(v.entries)
}

// WithinDataCentre returns a View of the same targets that chooses only within the data centre of the request.
func (v *View) WithinDataCentre() *View {
	within := *v
	within.local = true

	return &within
}

// addCentre returns the index of dc and adds it if it is missing.
func (v *View) addCentre(dc entity.DataCentre) int {
	for i, c := range v.centres {
		if c == dc {
			return i
		}
	}

	v.centres = append(v.centres, dc)

	return len(v.centres) - 1
}

// setDistances fills v.distance from distance, or with defaultDistance if that is nil.
func (v *View) setDistances(distance func(from, to entity.DataCentre) time.Duration) {
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
		dc:          v.addCentre(t.DataCentre),
		role:        t.Role,
		prefillRate: float64(cmp.Or(t.PrefillRate, defaultRate)),
		decodeRate:  float64(cmp.Or(t.DecodeRate, defaultRate)),
		slots:       float64(cmp.Or(t.Slots, defaultSlots)),
		ownFactor:   1,
	}

	if opt.Ledger == nil {
		e.flight = &Flight{}
	} else {
		e.flight = opt.Ledger.Flight(t.ID)
	}

	fresh := !t.Load.At.IsZero() && opt.Now.Sub(t.Load.At) <= opt.StaleAfter
	if !t.Load.At.IsZero() {
		e.role = t.Load.Role // even an old report is more accurate than the configured role
	}

	if fresh {
		e.reported = amounts{
			open:    int64(t.Load.Running + t.Load.Queued),
			prefill: int64(t.Load.PrefillPending),
			decode:  int64(t.Load.DecodePending),
		}
		e.base = e.flight.sentBy(opt.Now, t.Load.At)
	} else {
		e.ownFactor = int64(opt.Hosts)
	}

	n := int32(len(v.entries))
	v.entries = append(v.entries, e)
	v.index[t.ID] = n

	for _, p := range phasesOf(t.Type, e.role) {
		v.addToGroup(groupKey{model: t.Model, service: t.Service, phase: p}, e.dc, n)
	}
}

// addToGroup adds the entry with index n, which is in the data centre with index dc, to the group k.
func (v *View) addToGroup(k groupKey, dc int, n int32) {
	g, ok := v.groups[k]
	if !ok {
		g = &group{all: make([]int32, 0, cap(v.entries)), byCentre: make([][]int32, len(v.centres))}
		v.groups[k] = g
	}

	g.all = append(g.all, n)
	g.byCentre[dc] = append(g.byCentre[dc], n)
}

// phasesOf returns the phases that a target of the given type and role can run.
func phasesOf(targetType entity.TargetType, role entity.Role) []Phase {
	switch {
	case targetType == entity.Service:
		return []Phase{Whole}
	case role == entity.Prefill:
		return []Phase{Prefill}
	case role == entity.Decode:
		return []Phase{Decode}
	default:
		return []Phase{Whole, Prefill, Decode}
	}
}
