package placing

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dotterelflow/dotterelflow/internal/control/fleet"
	"github.com/dotterelflow/dotterelflow/internal/control/table"
)

const (
	// farPenalty is what a replica in another data centre must gain, as seconds of reading, to be chosen.
	farPenalty = 0.01
	// homePart is the part of an unknown prefix that its home replica is credited with, so that hosts that
	// see a prefix first at the same time choose the same replica.
	homePart = 0.3
	// rereadWeight weighs the reading of tokens that another replica holds, which delays all that come after,
	// against the wait of this request.
	rereadWeight = 8
	// unseenWeight weighs the reading that peers have not told of yet; prompts come in clumps of several.
	unseenWeight = 4
	// fewPeers is the number of peers with which half of what others do counts: a host among few sees most itself.
	fewPeers = 16
	// fullAt is the part of a replica's KV cache above which it gets no further answers while another has room.
	fullAt = 0.92
	// farRun is the penalty of another data centre for an answer, as part of a replica's load.
	farRun = 0.04
	// runWeight weighs the slots in use against the KV cache in use.
	runWeight = 0.5
	// faultRun is the load that a target that always fails is counted with on top of its own.
	faultRun = 3
)

// Job is the work of one request that asks for a target.
type Job struct {
	ID     table.RequestID
	Prompt table.Tokens
	Output table.Tokens // expected
	Parts  []Part
	Rank   int
	Near   table.DataCentre
	Avoid  []table.TargetID
	Sole   bool          // no other host places prompts on the candidates
	Enough time.Duration // a shorter wait is not worth a look at further replicas
}

func (j *Job) avoids(id table.TargetID) bool {
	return slices.Contains(j.Avoid, id)
}

// Placement is a chosen target with the work counted there. Release the claim when the work has ended.
type Placement struct {
	Target fleet.Target
	Claim  Claim
	Cached table.Tokens  // of the prompt, thought to be held by the target
	Wait   time.Duration // expected until the prompt is read; zero for plain services
	Full   bool          // the target has no room for the KV cache; only set when none has
	Work   table.Tokens  // ahead of the end of the reading, this prompt included
	Alone  bool          // nothing else is being read there
}

// Ending is how a placed prompt ended. The zero value is that of one that was not sent.
type Ending struct {
	Sent    bool
	Outcome Outcome       // of a prompt that was sent
	Took    time.Duration // to read it; zero if it was not read
}

// ForPrompt chooses the replica on which the prompt of job is expected to be read first.
// It reports false if candidates has no target that job accepts.
func (b *Board) ForPrompt(now time.Time, candidates []fleet.Target, job Job) (Placement, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()

	names := prefixes(job.Parts)
	held := b.cache.cached(names, job.Parts)

	var unseen float64
	if !job.Sole {
		unseen = b.unseen(now, candidates)
	}

	rank := rankIndex(job.Rank)

	var home table.TargetID
	if shared := len(names) - 1; len(held) == 0 && shared > 0 {
		home = homeOf(names[shared-1], candidates)
	}

	var (
		best      Placement
		bestScore float64
		found     bool
	)

	for pass := range 2 {
		for _, t := range candidates {
			if job.avoids(t.ID) || pass == 0 && b.paused(now, t, job.Near) {
				continue
			}

			cached := min(held[t.ID], job.Prompt)
			use := b.total(t.ID)
			work := job.Prompt - cached

			for i := range rank + 1 {
				work += use.Reading[i]
			}

			work += b.begun(now, t.ID, rank)

			r := b.record(t.ID)
			seconds := float64(work) / b.pace * r.slowness(b.pace)
			score := seconds*(1+r.faults) + rereadWeight*float64(job.Prompt-cached)/b.pace

			score += unseen * spread(job.ID, t.ID)

			if t.DataCentre != job.Near {
				score += farPenalty
			}

			if t.ID == home {
				score -= homePart * float64(job.Prompt) / b.pace
			}

			if !found || score < bestScore {
				best = Placement{
					Target: t, Cached: cached, Wait: time.Duration(seconds * float64(time.Second)), Work: work,
					Alone: use.Reading == [ranks]table.Tokens{},
				}
				bestScore, found = score, true
			}
		}

		if found {
			break
		}
	}

	if found {
		use := Use{Target: best.Target.ID}
		use.Reading[rank] = job.Prompt - best.Cached
		best.Claim = b.claim(use)
		best.Claim.queued = b.enqueue(best.Target.ID, rank, use.Reading[rank])
	}

	return best, found
}

// unseen returns the seconds of reading that peers are likely to have given to a replica since they last told:
// hosts that see the same work under way would otherwise all choose the replica that has least. The caller holds mu.
func (b *Board) unseen(now time.Time, candidates []fleet.Target) float64 {
	if len(candidates) == 0 {
		return 0
	}

	var tokens float64

	for _, p := range b.peers {
		age := now.Sub(p.at).Seconds()

		for _, demand := range p.demands {
			tokens += demand * age
		}
	}

	peers := float64(len(b.peers))
	weight := unseenWeight * peers / (peers + fewPeers)

	return weight * tokens / float64(len(candidates)) / b.alone
}

// spread returns a number in [0, 1) that differs for each pair of a request and a target.
func spread(id table.RequestID, target table.TargetID) float64 {
	var hash xxhash.Digest

	hash.Reset()

	// Writing to a digest never fails.
	_, _ = hash.WriteString(string(id))
	_, _ = hash.WriteString(string(target))

	return float64(hash.Sum64()>>11) / (1 << 53)
}

// homeOf returns the replica that a prefix belongs to as long as none is known to hold it.
func homeOf(p Prefix, candidates []fleet.Target) table.TargetID {
	var (
		home table.TargetID
		best uint64
	)

	for _, t := range candidates {
		var hash xxhash.Digest

		hash.Reset()

		_, _ = hash.WriteString(string(t.ID)) // never fails

		if score := hash.Sum64() ^ uint64(p)*0x9e3779b97f4a7c15; home == "" || score > best {
			home, best = t.ID, score
		}
	}

	return home
}

// paused reports whether t gets no work for now, as seen by work that comes from the data centre near.
func (b *Board) paused(now time.Time, t fleet.Target, near table.DataCentre) bool {
	if c, ok := b.centres[t.DataCentre]; ok && t.DataCentre != near && c.pause.Lasts(now) {
		return true
	}

	r, ok := b.targets[t.ID]

	return ok && r.pause.Lasts(now)
}

// ForAnswer chooses the model replica that generates the answer to job; capacity is the KV cache of each.
// It reports false if candidates has no target that job accepts.
func (b *Board) ForAnswer(now time.Time, candidates []fleet.Target, job Job, capacity table.Tokens) (Placement, bool) {
	need := job.Prompt + job.Output

	return b.choose(now, candidates, job, Use{Runs: 1, Held: need}, func(u *Use, t fleet.Target) (float64, bool) {
		load := runWeight * float64(u.Runs) / float64(t.Slots)
		full := u.Runs >= t.Slots

		if capacity > 0 {
			part := float64(u.Held+need) / float64(capacity)
			load += part
			full = full || part > fullAt
		}

		return load, full
	})
}

// ForCall chooses the replica of a plain service for job.
// It reports false if candidates has no target that job accepts.
func (b *Board) ForCall(now time.Time, candidates []fleet.Target, job Job) (Placement, bool) {
	return b.choose(now, candidates, job, Use{Runs: 1}, func(u *Use, t fleet.Target) (float64, bool) {
		return float64(u.Runs) / float64(t.Slots), false
	})
}

// choose takes the target with the least load. Full targets and those that were lost come last.
func (b *Board) choose(now time.Time, candidates []fleet.Target, job Job, use Use, load func(*Use, fleet.Target) (float64, bool)) (Placement, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()

	const last = 100 // beyond any load

	var (
		best      Placement
		bestScore float64
		found     bool
	)

	start := 0
	if len(candidates) > 0 {
		// Hosts with equal knowledge begin at different targets.
		start = int(xxhash.Sum64String(string(job.ID)) % uint64(len(candidates)))
	}

	for i := range candidates {
		t := candidates[(start+i)%len(candidates)]
		if job.avoids(t.ID) {
			continue
		}

		u := b.total(t.ID)
		score, full := load(&u, t)
		r := b.record(t.ID)
		score += faultRun * r.faults

		if t.DataCentre != job.Near {
			score += farRun
		}

		if full {
			score += last
		}

		if b.paused(now, t, job.Near) {
			score += 2 * last
		}

		if !found || score < bestScore {
			best = Placement{Target: t, Full: full}
			bestScore, found = score, true
		}
	}

	if found {
		use.Target = best.Target.ID
		best.Claim = b.claim(use)
	}

	return best, found
}
