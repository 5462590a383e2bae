// Package cells partitions the replicas that process prompts into cells, and selects for each cell the entry
// host that places prompts on its replicas.
//
// If each host placed prompts by load reports from the other hosts, the reports would often be out of date and hosts
// would choose replicas that have just received other work. So one host per cell, its placer, makes all choices
// and takes each of them into account at once. Up to MaxSingleCellHosts hosts use one cell for all replicas; more
// hosts use a cell per data centre. Hosts may disagree for a moment about which host is the placer. Prompts are then
// placed with less complete data; this has no other effect.
package cells

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/control/fleet"
	"github.com/dotterelflow/dotterelflow/internal/control/placing"
	"github.com/dotterelflow/dotterelflow/internal/control/rendezvous"
)

// MaxSingleCellHosts is the number of entry hosts up to which all replicas form one cell. One host of the smallest size
// can place the prompts of that many hosts with a small part of its CPU time.
const MaxSingleCellHosts = 16

// AllReplicas is the name of the cell of all replicas.
const AllReplicas entity.DataCentre = ""

// Rank returns the cells of candidates for the given number of hosts, in the order in which they should be
// tried for job's prompt (weighted rendezvous hashing). Without candidates it returns no cells. Prompts with a shared
// prefix get the same order, and each cell comes first for a part of the prefixes in proportion to its replicas.
func Rank(candidates []fleet.Target, hosts int, job placing.Job) []entity.DataCentre {
	if len(candidates) == 0 {
		return nil
	}

	if hosts <= MaxSingleCellHosts {
		return []entity.DataCentre{AllReplicas}
	}

	replicas := map[entity.DataCentre]int{}
	for _, t := range candidates {
		replicas[t.DataCentre]++
	}

	type scored struct {
		cell  entity.DataCentre
		score float64
	}

	key := prefixKey(job)
	order := make([]scored, 0, len(replicas))

	for cell, n := range replicas {
		order = append(order, scored{cell, float64(n) / -math.Log(unitHash(key, string(cell)))})
	}

	slices.SortFunc(order, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.cell, b.cell))
	})

	cells := make([]entity.DataCentre, len(order))
	for i, s := range order {
		cells[i] = s.cell
	}

	return cells
}

// prefixKey returns a key that is equal for prompts that share all but their last part. For a prompt without
// such a prefix it is derived from the request's id.
func prefixKey(job placing.Job) uint64 {
	if p, ok := placing.SharedPrefix(job.Parts); ok {
		return uint64(p)
	}

	return xxhash.Sum64String(string(job.ID))
}

// unitHash returns a uniformly distributed number in (0, 1) that depends on key and name only.
func unitHash(key uint64, name string) float64 {
	const bits = 53

	mixed := (xxhash.Sum64String(name) ^ key) * 0x9e3779b97f4a7c15
	mixed ^= mixed >> 32
	mixed *= 0xd6e8feb86659fd93

	return (float64(mixed>>(64-bits)) + 0.5) / (1 << bits)
}

// Placer returns the host that places the prompts of cell, chosen by rendezvous hashing, or "" if hosts is empty.
func Placer(cell entity.DataCentre, hosts []entity.HostID) entity.HostID {
	var (
		placer entity.HostID
		best   uint64
	)

	for _, h := range hosts {
		if score := rendezvous.Score(string(cell), string(h)); placer == "" || score > best {
			placer, best = h, score
		}
	}

	return placer
}

// Members returns the candidates that belong to cell; for the cell of all replicas, the slice itself.
func Members(cell entity.DataCentre, candidates []fleet.Target) []fleet.Target {
	if cell == AllReplicas {
		return candidates
	}

	var members []fleet.Target

	for _, t := range candidates {
		if t.DataCentre == cell {
			members = append(members, t)
		}
	}

	return members
}
