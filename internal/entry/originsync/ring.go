package originsync

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/control/members"
	"github.com/dotterelflow/dotterelflow/internal/control/rendezvous"
)

const (
	// homeCopies is the number of other hosts of the data centre that hold a record. More are asked for one, as hosts may
	// have been lost or have started since it was sent.
	homeCopies  = 2
	homeQueries = 3
	// smallFleetHosts is the number of live hosts up to which all data centres hold each record and all hosts are asked.
	smallFleetHosts = 16
	// keeperKey stands in for a stream in the choice of the host that keeps records in the store.
	keeperKey = 0
	// remoteCopies is the number of other data centres that hold a record in a larger fleet.
	remoteCopies = 1
)

// candidate is a host or a data centre that is ranked.
type candidate struct {
	name    string
	address string // of a host
}

// holder is a host that holds records.
type holder struct {
	address string
	passOn  bool // the host is in another data centre and has to involve the host there that ranks first
}

// ring ranks the live hosts for a stream. It never changes.
type ring struct {
	self    string
	home    []candidate            // the other hosts of this data centre
	centres []candidate            // the other data centres with live hosts
	remote  map[string][]candidate // their hosts
	live    int                    // number of hosts
}

func newRing(self entity.HostID, home entity.DataCentre, live []members.Member) *ring {
	r := &ring{self: string(self), remote: map[string][]candidate{}, live: len(live)}

	for _, m := range live {
		host := candidate{name: string(m.Host), address: m.Address}

		if m.DataCentre == home {
			r.home = append(r.home, host)

			continue
		}

		dc := string(m.DataCentre)
		if _, ok := r.remote[dc]; !ok {
			r.centres = append(r.centres, candidate{name: dc})
		}

		r.remote[dc] = append(r.remote[dc], host)
	}

	return r
}

// small reports whether all data centres hold each record.
func (r *ring) small() bool { return r.live < smallFleetHosts }

// holders returns the hosts that hold the record of stream, besides this one.
func (r *ring) holders(stream uint64) []holder {
	var list []holder

	for _, h := range ranked(r.home, stream, homeCopies) {
		list = append(list, holder{address: h.address})
	}

	copies := len(r.centres)
	if !r.small() {
		copies = remoteCopies
	}

	for _, dc := range ranked(r.centres, stream, copies) {
		list = append(list, r.contact(dc.name, stream))
	}

	return list
}

// asked returns the hosts to ask for the record of stream: first those that probably hold it, then the others.
func (r *ring) asked(stream uint64) (first, rest []holder) {
	queries := homeQueries
	if r.small() {
		queries = len(r.home)
	}

	for _, h := range ranked(r.home, stream, queries) {
		first = append(first, holder{address: h.address})
	}

	for _, dc := range ranked(r.centres, stream, len(r.centres)) {
		if !r.small() {
			rest = append(rest, r.contact(dc.name, stream))

			continue
		}

		for _, h := range r.remote[dc.name] {
			rest = append(rest, holder{address: h.address})
		}
	}

	return first, rest
}

// first returns the host of this data centre that ranks first for stream. It reports false if that is this host.
func (r *ring) first(stream uint64) (holder, bool) {
	best := ranked(r.home, stream, 1)
	if len(best) == 0 || rendezvous.Score(r.self, keyOf(stream)) > best[0].weight {
		return holder{}, false
	}

	return holder{address: best[0].address}, true
}

// keeper returns the host of this data centre that keeps records in the store. It reports false if that is this host.
func (r *ring) keeper() (holder, bool) { return r.first(keeperKey) }

// contact returns the host of dc that is told of stream. In a large fleet only some hosts of dc are known here.
func (r *ring) contact(dc string, stream uint64) holder {
	return holder{address: ranked(r.remote[dc], stream, 1)[0].address, passOn: !r.small()}
}

// scored is a candidate with its weight for a stream.
type scored struct {
	candidate

	weight uint64
}

// rank orders candidates by descending weight.
func rank(a, b scored) int {
	if c := cmp.Compare(b.weight, a.weight); c != 0 {
		return c
	}

	return cmp.Compare(a.name, b.name)
}

// ranked returns the first n candidates of list in the order in which they rank for stream.
func ranked(list []candidate, stream uint64, n int) []scored {
	key := keyOf(stream)
	best := make([]scored, 0, n+1)

	for _, c := range list {
		s := scored{c, rendezvous.Score(c.name, key)}

		if i, _ := slices.BinarySearchFunc(best, s, rank); i < n {
			best = slices.Insert(best, i, s)
			best = best[:min(len(best), n)]
		}
	}

	return best
}

// keyOf returns the key by which stream is ranked, on all hosts.
func keyOf(stream uint64) string { return strconv.FormatUint(stream, 36) }
