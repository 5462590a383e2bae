package placing

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/control/fleet"
)

const (
	// stayingReplicas is the number of decode replicas from which on a version gets new streams, so that a stream can go on if
	// one of them is lost.
	stayingReplicas = 2
	// unsplitWeight is the weight of a version without prefill replicas. Its decode replicas prefill prompts too, which
	// takes them several times as long.
	unsplitWeight = 0.25
)

// versionCounts are the replicas that one version has for a request.
type versionCounts struct {
	version         entity.SoftwareVersion
	prefill, decode int
}

// ChooseVersion chooses the software version for a new stream, for which prefill and decode are the replicas that accept
// work. A version comes up in proportion to what it can serve: its share of the prefill or of the decode replicas,
// whichever is less. It reports false if there is no decode replica that job does not avoid, of a version that is not in
// except.
func ChooseVersion(job Job, prefill, decode []fleet.Target, except []entity.SoftwareVersion) (entity.SoftwareVersion, bool) {
	versions, totals := countVersions(job, prefill, decode, except)

	staying := slices.DeleteFunc(slices.Clone(versions), func(c versionCounts) bool { return c.decode < stayingReplicas })
	if len(staying) > 0 {
		versions = staying
	}

	if len(versions) == 0 {
		return "", false
	}

	var sum float64

	weights := make([]float64, len(versions))
	for i, c := range versions {
		weights[i] = c.weight(totals)
		sum += weights[i]
	}

	point := float64(xxhash.Sum64String(string(job.ID)+"\x00version")>>11) / (1 << 53) * sum

	for i, w := range weights {
		if point < w {
			return versions[i].version, true
		}

		point -= w
	}

	return versions[len(versions)-1].version, true
}

// countVersions returns the counts of each version that has decode replicas, ordered by version, and their sums.
func countVersions(job Job, prefill, decode []fleet.Target, except []entity.SoftwareVersion) (versions []versionCounts, totals versionCounts) {
	index := func(v entity.SoftwareVersion) int {
		return slices.IndexFunc(versions, func(c versionCounts) bool { return c.version == v })
	}

	for _, t := range decode {
		if job.avoids(t.ID) || slices.Contains(except, t.Version) {
			continue
		}

		i := index(t.Version)
		if i < 0 {
			i = len(versions)
			versions = append(versions, versionCounts{version: t.Version})
		}

		versions[i].decode++
		totals.decode++
	}

	for _, t := range prefill {
		if i := index(t.Version); i >= 0 && !job.avoids(t.ID) {
			versions[i].prefill++
			totals.prefill++
		}
	}

	slices.SortFunc(versions, func(a, b versionCounts) int { return cmp.Compare(a.version, b.version) })

	return versions, totals
}

func (c versionCounts) weight(totals versionCounts) float64 {
	decode := float64(c.decode) / float64(totals.decode)

	switch {
	case totals.prefill == 0:
		return decode
	case c.prefill == 0:
		return unsplitWeight * decode
	default:
		return min(decode, float64(c.prefill)/float64(totals.prefill))
	}
}
