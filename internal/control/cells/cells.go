// Package cells divides the replicas that read prompts among the entry hosts that place prompts on them.
//
// A host that chooses by what the others told a moment ago meets, on many of its choices, work that has
// arrived since. In each cell one host, its placer, makes all choices and so knows of each at once. Few
// hosts share one cell; many have a cell for each data centre. Hosts may disagree for a moment about who
// places: choices are then made with less knowledge, and nothing else depends on them.
package cells

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/dotterelflow/dotterelflow/internal/control/fleet"
	"github.com/dotterelflow/dotterelflow/internal/control/placing"
	"github.com/dotterelflow/dotterelflow/internal/control/rendezvous"
	"github.com/dotterelflow/dotterelflow/internal/control/table"
)

// FewHosts is the number of entry hosts up to which all replicas are one cell: one host of the least size
// places their prompts with a small part of its processor.
const FewHosts = 16

// Whole names the cell of all replicas.
const Whole table.DataCentre = ""

// Rank returns the cells that candidates form among the given number of hosts, the one that should read
// job's prompt first. Prompts with a shared beginning have the same order, and each cell comes first in
// proportion to its replicas.
func Rank(candidates []fleet.Target, hosts int, job placing.Job) []table.DataCentre {
	if len(candidates) == 0 {
		return nil
	}

	if hosts <= FewHosts {
		return []table.DataCentre{Whole}
	}

	replicas := map[table.DataCentre]int{}
	for _, t := range candidates {
		replicas[t.DataCentre]++
	}

	type weighted struct {
		cell   table.DataCentre
		weight float64
	}

	key := affinity(job)
	order := make([]weighted, 0, len(replicas))

	for cell, n := range replicas {
		order = append(order, weighted{cell, float64(n) / -math.Log(unitHash(key, string(cell)))})
	}

	slices.SortFunc(order, func(a, b weighted) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.cell, b.cell))
	})

	cells := make([]table.DataCentre, len(order))
	for i, w := range order {
		cells[i] = w.cell
	}

	return cells
}

// affinity is the same for prompts that share all but their last part.
func affinity(job placing.Job) uint64 {
	if p, ok := placing.Shared(job.Parts); ok {
		return uint64(p)
	}

	return xxhash.Sum64String(string(job.ID))
}

// unitHash returns a number in (0, 1) that depends on key and name only.
func unitHash(key uint64, name string) float64 {
	const bits = 53

	mixed := (xxhash.Sum64String(name) ^ key) * 0x9e3779b97f4a7c15
	mixed ^= mixed >> 32
	mixed *= 0xd6e8feb86659fd93

	return (float64(mixed>>(64-bits)) + 0.5) / (1 << bits)
}

// Placer returns which of hosts places the prompts of cell, by rendezvous hashing, or "" for no hosts.
func Placer(cell table.DataCentre, hosts []table.HostID) table.HostID {
	var (
		placer table.HostID
		best   uint64
	)

	for _, h := range hosts {
		if score := rendezvous.Score(string(cell), string(h)); placer == "" || score > best {
			placer, best = h, score
		}
	}

	return placer
}

// In returns those of candidates that belong to cell.
func In(cell table.DataCentre, candidates []fleet.Target) []fleet.Target {
	if cell == Whole {
		return candidates
	}

	var in []fleet.Target

	for _, t := range candidates {
		if t.DataCentre == cell {
			in = append(in, t)
		}
	}

	return in
}
