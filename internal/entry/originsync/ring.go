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
	// remoteCopies is the number of other data centres that hold a record in a larger fleet.
	remoteCopies = 1
)

// holder is a host that holds records.
type holder struct {
	address string
	passOn  bool // the host is in another data centre and has to involve the host there that ranks first
}

// ring ranks the live hosts for a stream.
type ring struct {
	self   entity.HostID
	home   []members.Member // the other hosts of this data centre
	remote map[entity.DataCentre][]members.Member
	small  bool
}

func newRing(self entity.HostID, home entity.DataCentre, live []members.Member) *ring {
	r := &ring{self: self, remote: map[entity.DataCentre][]members.Member{}, small: len(live) < smallFleetHosts}

	for _, m := range live {
		if m.DataCentre == home {
			r.home = append(r.home, m)
		} else {
			r.remote[m.DataCentre] = append(r.remote[m.DataCentre], m)
		}
	}

	return r
}

// holders returns the hosts that hold the record of stream, besides this one.
func (r *ring) holders(stream uint64) []holder {
	var list []holder

	for _, m := range ranked(r.home, stream, homeCopies) {
		list = append(list, holder{address: m.Address})
	}

	centres := r.centres(stream)
	if !r.small {
		centres = centres[:min(len(centres), remoteCopies)]
	}

	for _, dc := range centres {
		list = append(list, r.contact(dc, stream))
	}

	return list
}

// asked returns the hosts to ask for the record of stream: first those that probably hold it, then the others.
func (r *ring) asked(stream uint64) (first, rest []holder) {
	queries := homeQueries
	if r.small {
		queries = len(r.home)
	}

	for _, m := range ranked(r.home, stream, queries) {
		first = append(first, holder{address: m.Address})
	}

	for _, dc := range r.centres(stream) {
		if !r.small {
			rest = append(rest, r.contact(dc, stream))

			continue
		}

		for _, m := range r.remote[dc] {
			rest = append(rest, holder{address: m.Address})
		}
	}

	return first, rest
}

// first returns the host of this data centre that ranks first for stream. It reports false if that is this host.
func (r *ring) first(stream uint64) (holder, bool) {
	best := ranked(r.home, stream, 1)
	if len(best) == 0 || weight(r.self, stream) > weight(best[0].Host, stream) {
		return holder{}, false
	}

	return holder{address: best[0].Address}, true
}

// contact returns the host of dc that is told of stream. In a large fleet only some hosts of dc are known here.
func (r *ring) contact(dc entity.DataCentre, stream uint64) holder {
	return holder{address: ranked(r.remote[dc], stream, 1)[0].Address, passOn: !r.small}
}

// centres returns the other data centres with live hosts, ranked for stream.
func (r *ring) centres(stream uint64) []entity.DataCentre {
	list := make([]entity.DataCentre, 0, len(r.remote))
	for dc := range r.remote {
		list = append(list, dc)
	}

	slices.SortFunc(list, func(a, b entity.DataCentre) int {
		return cmp.Or(cmp.Compare(weight(b, stream), weight(a, stream)), cmp.Compare(a, b))
	})

	return list
}

// ranked returns the first n members of list in the order in which they rank for stream.
func ranked(list []members.Member, stream uint64, n int) []members.Member {
	sorted := slices.Clone(list)
	slices.SortFunc(sorted, func(a, b members.Member) int {
		return cmp.Or(cmp.Compare(weight(b.Host, stream), weight(a.Host, stream)), cmp.Compare(a.Host, b.Host))
	})

	return sorted[:min(len(sorted), n)]
}

func weight[N ~string](name N, stream uint64) uint64 {
	return rendezvous.Score(string(name), strconv.FormatUint(stream, 36))
}
