package placing

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/control/fleet"
)

const (
	// farPenalty is the number of seconds by which prefill in another data centre must be faster to be chosen.
	farPenalty = 0.01
	// homeCredit is the fraction of the prompt that counts as cached on the home replica of a prefix without a known
	// holder (see homeReplica), so that hosts that first see a prefix at the same time choose the same replica.
	homeCredit = 0.3
	// largePart is the size of the shared part of a prompt from which prompts follow one that brings the part to a replica, and
	// cells are compared by what they hold. The prefill of a smaller part takes less than a queue of a few prompts.
	largePart entity.Tokens = 4_096
	// recomputeWeight is the weight of the prefill of uncached tokens, which delays all later requests on the
	// replica, relative to the wait of this request.
	recomputeWeight = 8
	// unreportedWeight scales the estimated prefill work that peers have not reported yet, since prompts arrive
	// in bursts of several.
	unreportedWeight = 4
	// fewPeers is the number of peers at which unreportedWeight counts by half. A host with few peers places a large
	// share of the requests itself and needs the estimate less. With fewer peers, MergePaused has no effect.
	fewPeers = 16
	// fullFraction is the used fraction of a replica's KV cache above which it gets no further decode work while
	// another replica has room.
	fullFraction = 0.92
	// farLoad is the load added to a target in another data centre, as a fraction of full load.
	farLoad = 0.04
	// slotWeight is the weight of the used slots relative to the used KV cache.
	slotWeight = 0.5
	// failureLoad is the load added to a target that always fails; it scales with the failure rate.
	failureLoad = 3
)

// Job is the work of one request that needs a target.
type Job struct {
	ID             entity.RequestID
	Prompt         entity.Tokens // prompt tokens
	Output         entity.Tokens // output tokens expected
	Parts          []Part
	Rank           int               // urgency of the request; zero is the most urgent
	Near           entity.DataCentre // data centre from which the target is reached
	Avoid          []entity.TargetID // targets that must not be chosen
	SolePlacer     bool              // whether no other host places prompts on the candidates
	Gap            time.Duration     // longest pause between two events of the answer that is in time; zero sets no bound
	AcceptableWait time.Duration     // expected wait up to which no further cell (see package cells) is tried
	// Version is the software version of the candidates, for a host that knows other candidates; nil means any.
	Version *entity.SoftwareVersion
}

func (j *Job) avoids(id entity.TargetID) bool {
	return slices.Contains(j.Avoid, id)
}

// Placement is a chosen target and the work added to it. Release Claim when the work has ended.
type Placement struct {
	Target        fleet.Target
	Claim         Claim
	Cached        entity.Tokens // prompt tokens that the target is expected to have cached
	Wait          time.Duration // expected time until the end of the prefill; zero for plain services and decode
	Full          bool          // Target lacks a free slot or KV cache, as do all unpaused candidates; decode only
	Paused        bool          // Target is paused, as are all candidates; not set for prompts
	PrefillTokens entity.Tokens // tokens to process until the end of the prefill, uncached ones of this prompt included
	Exclusive     bool          // no other prompt is waiting or being prefilled on Target
}

// PromptResult is the result of a placed prompt. The zero value means that it was not sent.
type PromptResult struct {
	Sent        bool
	Outcome     Outcome       // only valid if Sent
	PrefillTime time.Duration // duration of the prefill; zero if there was none
}

// PlacePrompt chooses the replica for the prefill of job, mainly by the expected time until the prefill ends.
// It reports false if job avoids all candidates.
func (b *Board) PlacePrompt(now time.Time, candidates []fleet.Target, job Job) (Placement, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()

	keys := prefixes(job.Parts)
	cachedBy := b.cache.cachedTokens(keys, job.Parts)

	var unreported float64
	if !job.SolePlacer {
		unreported = b.unreportedDelay(now, candidates)
	}

	rank := rankIndex(job.Rank)

	large := Prefix(0)
	if n := len(keys) - 1; n > 0 && sharedTokens(job.Parts) >= largePart {
		large = keys[n-1]

		if id := b.underWay(large); id != "" {
			cachedBy[id] = sharedTokens(job.Parts)
		}
	}

	var home entity.TargetID
	if shared := len(keys) - 1; len(cachedBy) == 0 && shared > 0 {
		home = homeReplica(keys[shared-1], candidates)
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

			cached := min(cachedBy[t.ID], job.Prompt)
			total := b.total(t.ID)
			tokens := job.Prompt - cached

			for i := range rank + 1 {
				tokens += total.PendingPrefill[i]
			}

			tokens += b.blockingTokens(now, t.ID, rank)

			r := b.record(t.ID)
			seconds := float64(tokens) / b.prefillRate * r.slowness(b.prefillRate)
			score := seconds*(1+r.failureRate) + recomputeWeight*float64(job.Prompt-cached)/b.prefillRate

			score += unreported * jitter(job.ID, t.ID)

			if t.DataCentre != job.Near {
				score += farPenalty
			}

			if t.ID == home {
				score -= homeCredit * float64(job.Prompt) / b.prefillRate
			}

			if !found || score < bestScore {
				best = Placement{
					Target: t, Cached: cached, Wait: time.Duration(seconds * float64(time.Second)), PrefillTokens: tokens,
					Exclusive: total.PendingPrefill == [rankCount]entity.Tokens{},
				}
				bestScore, found = score, true
			}
		}

		if found {
			break
		}
	}

	if found {
		work := TargetWork{Target: best.Target.ID}
		work.PendingPrefill[rank] = job.Prompt - best.Cached
		best.Claim = b.claim(work)
		best.Claim.queued = b.enqueue(best.Target.ID, rank, work.PendingPrefill[rank])

		if large != 0 && best.Cached < sharedTokens(job.Parts) {
			best.Claim.queued.part = large
			b.parts[large] = append(b.parts[large], best.Target.ID)
		}
	}

	return best, found
}

// sharedTokens returns the tokens of all parts but the last one, which belongs to a single request.
func sharedTokens(parts []Part) entity.Tokens {
	var sum entity.Tokens
	for _, p := range parts[:max(len(parts)-1, 0)] {
		sum += p.Tokens
	}

	return sum
}

// Better reports whether the placement p of job is better than the placement q in another cell. For a large shared part it
// is the one with the lower cost: the wait plus the prefill of uncached tokens with its weight, as in PlacePrompt. Else it is
// the one with the shorter wait.
func (b *Board) Better(p, q Placement, job Job) bool {
	if sharedTokens(job.Parts) < largePart {
		return p.Wait < q.Wait
	}

	b.mu.Lock()
	defer b.mu.Unlock()

	saved := float64(p.Cached-q.Cached) / b.prefillRate

	return p.Wait.Seconds() < q.Wait.Seconds()+recomputeWeight*saved
}

// unreportedDelay estimates the seconds of prefill per replica that peers have placed since their last reports, and
// returns the estimate times a weight: unreportedWeight, lowered if there are few peers (see fewPeers). PlacePrompt
// multiplies the result by the jitter of the request and replica and adds it to the replica's score. Without it, hosts
// that see the same reports would all choose the least loaded replica. The caller holds mu.
func (b *Board) unreportedDelay(now time.Time, candidates []fleet.Target) float64 {
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
	weight := unreportedWeight * peers / (peers + fewPeers)

	return weight * tokens / float64(len(candidates)) / b.idlePrefillRate
}

// jitter returns a pseudo-random number in [0, 1) that is fixed for each pair of a request and a target.
func jitter(id entity.RequestID, target entity.TargetID) float64 {
	var hash xxhash.Digest

	hash.Reset()

	// Writing to a digest never fails.
	_, _ = hash.WriteString(string(id))
	_, _ = hash.WriteString(string(target))

	return float64(hash.Sum64()>>11) / (1 << 53)
}

// homeReplica returns the preferred replica for a prefix without a known holder, by rendezvous hashing. It returns
// "" if there are no candidates.
func homeReplica(p Prefix, candidates []fleet.Target) entity.TargetID {
	var (
		home entity.TargetID
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

// paused reports whether t, or its data centre as reached from near, is paused. A paused target is chosen only if no
// other candidate can be. The caller holds mu.
func (b *Board) paused(now time.Time, t fleet.Target, near entity.DataCentre) bool {
	if c, ok := b.centres[t.DataCentre]; ok && t.DataCentre != near && c.pause.Active(now) {
		return true
	}

	r, ok := b.records[t.ID]

	return ok && r.pause.Active(now)
}

// PlaceDecode chooses the model replica for the decode of job. capacity is the KV cache of each replica; zero sets
// no bound. It reports false if job avoids all candidates.
func (b *Board) PlaceDecode(now time.Time, candidates []fleet.Target, job Job, capacity entity.Tokens) (Placement, bool) {
	need := job.Prompt + job.Output

	b.mu.Lock()
	pace := b.viewOf(now, candidates)
	known := b.total

	if pace.view.Uneven() {
		known = b.fleetWork
	}
	b.mu.Unlock()

	return b.choose(now, candidates, job, TargetWork{Running: 1, KVTokens: need}, known, func(w *TargetWork, t fleet.Target) (float64, bool) {
		load := slotWeight * float64(w.Running) / float64(t.Slots)
		full := w.Running >= t.Slots

		if capacity > 0 {
			used := float64(w.KVTokens+need) / float64(capacity)
			load += used
			full = full || used > fullFraction
		}

		return load + paceCost(pace.view, w, t, job.Gap) + pace.chance(&job, t), full
	})
}

// PlaceCall chooses the replica of a plain service for job. It reports false if job avoids all candidates.
func (b *Board) PlaceCall(now time.Time, candidates []fleet.Target, job Job) (Placement, bool) {
	return b.choose(now, candidates, job, TargetWork{Running: 1}, b.total, func(w *TargetWork, t fleet.Target) (float64, bool) {
		return float64(w.Running) / float64(t.Slots), false
	})
}

// choose places work on the target with the least load. Full targets come after those with room, and paused ones last.
func (b *Board) choose(
	now time.Time, candidates []fleet.Target, job Job, work TargetWork, known func(entity.TargetID) TargetWork,
	load func(*TargetWork, fleet.Target) (float64, bool),
) (Placement, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()

	const penalty = 100 // above any load

	var (
		best      Placement
		bestScore float64
		found     bool
	)

	start := 0
	if len(candidates) > 0 {
		// Hosts with the same reports break ties differently.
		start = int(xxhash.Sum64String(string(job.ID)) % uint64(len(candidates)))
	}

	for i := range candidates {
		t := candidates[(start+i)%len(candidates)]
		if job.avoids(t.ID) {
			continue
		}

		total := known(t.ID)
		score, full := load(&total, t)
		r := b.record(t.ID)
		score += failureLoad * r.failureRate

		if t.DataCentre != job.Near {
			score += farLoad
		}

		if full {
			score += penalty
		}

		paused := b.paused(now, t, job.Near)
		if paused {
			score += 2 * penalty
		}

		if !found || score < bestScore {
			best = Placement{Target: t, Full: full, Paused: paused}
			bestScore, found = score, true
		}
	}

	if found {
		work.Target = best.Target.ID
		best.Claim = b.claim(work)
	}

	return best, found
}
