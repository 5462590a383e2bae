// Package capacity computes an upper bound of the credit that a fleet of model replicas can earn, for each split of its
// replicas between reading prompts (prefill) and generating answers (decode). The platform credits each answer by its
// kind, its size and whether it is in time.
//
// It is a fluid model: work is spread evenly over the replicas, nothing queues while the load is below the capacity,
// and above it more urgent kinds are served first. Other limits of a real fleet are not modelled: bursts within a
// second, uneven placement, the network between replicas and the time that role changes take.
package capacity

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// samples is the number of prompts that are drawn for each kind.
	samples = 4000
	// seed is fixed, so that equal inputs give equal results.
	seed = 1
	// sizeWeight and maxWeight follow the platform, whose credit for an answer is the worth of its kind times a weight.
	// sizeWeight is the part of the weight that is proportional to the tokens of the request, relative to the mean of
	// its kind. maxWeight is the largest weight.
	sizeWeight = 0.7
	maxWeight  = 4
)

// Engine describes the replicas of one model service.
type Engine struct {
	Replicas            int
	Slots               int           // answers that each replica generates at a time
	ReadTokensPerSecond float64       // prompt tokens that each replica reads per second
	Step                time.Duration // fixed part of a decode step, which generates one token of each answer in progress
	StepPerSlot         time.Duration // further time of a decode step for each answer in progress
	FirstEventDelay     time.Duration // time from the end of the prefill to the first event of the answer
	KVTokens            float64       // size of the KV cache of each replica, in tokens
}

// Kind describes the requests of one kind.
type Kind struct {
	Name         string
	Rank         int           // 0 is the most urgent
	PerSecond    float64       // requests per second
	Objective    time.Duration // maximum time until the first event of the answer
	OwnTokens    LogNormal     // prompt tokens that are not shared with other requests
	SharedTokens float64       // mean prompt tokens that are shared with other requests
	OutputTokens float64       // mean output tokens
	Worth        float64       // credit for an answer of mean size whose first event comes within Objective
	LateWorth    float64       // credit for a late answer of mean size
}

// LogNormal is a log-normal distribution of numbers of tokens.
type LogNormal struct {
	Mean   float64
	Spread float64 // standard deviation of the logarithm
	Most   float64 // largest number drawn; zero means no limit
}

// Period is a part of a day in which load and replicas do not change.
type Period struct {
	Length           time.Duration
	RateFactors      map[string]float64 // factor on the usual rate, by kind; missing means 1
	UnavailableShare float64            // share of the replicas that are unavailable
}

// Options say how well the placement of prompts uses the prefix caches. With the zero value, each prompt is read in
// full.
type Options struct {
	CachedShare float64 // share of the shared tokens that the chosen replica has in its cache
}

// Split is one split of the replicas, with its use and credit over a day.
type Split struct {
	Readers     int     // replicas in the prefill role, which read prompts; the others generate answers
	ReadUse     float64 // arriving prompt tokens divided by those that the readers can read, in the worst period of the day
	GenerateUse float64 // requested output tokens divided by those that can be generated, in the worst period of the day
	MemoryUse   float64 // share of the generators' KV cache that is in use, in the worst period of the day
	Credit      float64 // credit earned in the day, as a share of the credit if each answer were in time
}

// Splits evaluates all splits of e's replicas with at least one reader and one generator, in order of readers.
func Splits(e Engine, kinds []Kind, day []Period, opts Options) []Split {
	kinds = slices.Clone(kinds)
	slices.SortStableFunc(kinds, func(a, b Kind) int { return cmp.Compare(a.Rank, b.Rank) })

	prompts := make([]promptMeans, len(kinds))
	for i, k := range kinds {
		prompts[i] = sampleKind(e, k, opts)
	}

	var splits []Split

	for readers := 1; readers < e.Replicas; readers++ {
		s := Split{Readers: readers}

		var possible, earned float64

		for _, p := range day {
			possiblePerSecond, earnedPerSecond := s.addPeriod(e, kinds, prompts, p)
			possible += possiblePerSecond * p.Length.Seconds()
			earned += earnedPerSecond * p.Length.Seconds()
		}

		if possible > 0 {
			s.Credit = earned / possible
		}

		splits = append(splits, s)
	}

	return splits
}

// Best returns the split that earns the most credit, or the zero Split if there is none.
func Best(splits []Split) Split {
	var best Split

	for _, s := range splits {
		if s.Credit > best.Credit {
			best = s
		}
	}

	return best
}

// promptMeans holds mean values for one request over the sampled prompts of a kind.
type promptMeans struct {
	tokens   float64 // prompt tokens to read
	possible float64 // credit if each answer is in time
	earned   float64 // credit if the prompts that even an idle replica reads too slowly are late
}

// sampleKind draws prompts of the kind k and returns their means.
func sampleKind(e Engine, k Kind, opts Options) promptMeans {
	r := rand.New(rand.NewPCG(seed, seed))
	sum := promptMeans{}
	mean := k.OwnTokens.Mean + k.SharedTokens + k.OutputTokens

	for range samples {
		own := k.OwnTokens.draw(r)
		read := own + k.SharedTokens*(1-opts.CachedShare)
		firstEvent := time.Duration(read/e.ReadTokensPerSecond*float64(time.Second)) + e.FirstEventDelay
		weight := min(1-sizeWeight+sizeWeight*(own+k.SharedTokens+k.OutputTokens)/mean, maxWeight)

		sum.tokens += read
		sum.possible += weight * k.Worth

		if firstEvent <= k.Objective {
			sum.earned += weight * k.Worth
		} else {
			sum.earned += weight * k.LateWorth
		}
	}

	return promptMeans{tokens: sum.tokens / samples, possible: sum.possible / samples, earned: sum.earned / samples}
}

func (d LogNormal) draw(r *rand.Rand) float64 {
	drawn := d.Mean * math.Exp(d.Spread*r.NormFloat64()-d.Spread*d.Spread/2)
	if d.Most > 0 {
		drawn = min(drawn, d.Most)
	}

	return drawn
}

// addPeriod adds the use in p to s. It returns the credit per second that would be earned in p if each answer were in
// time, and the credit per second that this split earns.
func (s *Split) addPeriod(e Engine, kinds []Kind, prompts []promptMeans, p Period) (possible, earned float64) {
	available := 1 - p.UnavailableShare
	canRead := float64(s.Readers) * available * e.ReadTokensPerSecond
	generators := float64(e.Replicas-s.Readers) * available
	canGenerate := generators * e.tokensPerSecond()

	var read, generate, memory float64

	for i, k := range kinds {
		rate := k.PerSecond * p.rateFactor(k.Name)
		promptTokens := rate * prompts[i].tokens

		// served is the share that the capacity left by more urgent kinds can serve.
		served := 1.0
		if promptTokens > 0 {
			served = min(served, max(canRead-read, 0)/promptTokens)
		}

		if tokens := rate * k.OutputTokens; tokens > 0 {
			served = min(served, max(canGenerate-generate, 0)/tokens)
		}

		read += promptTokens
		generate += rate * k.OutputTokens
		memory += rate * k.OutputTokens * e.stepTime(e.Slots/2).Seconds() * (k.OwnTokens.Mean + k.SharedTokens + k.OutputTokens)
		possible += rate * prompts[i].possible
		earned += rate * prompts[i].earned * served
	}

	s.ReadUse = max(s.ReadUse, share(read, canRead))
	s.GenerateUse = max(s.GenerateUse, share(generate, canGenerate))
	s.MemoryUse = max(s.MemoryUse, share(memory, generators*e.KVTokens))

	return possible, earned
}

func (p Period) rateFactor(kind string) float64 {
	if x, ok := p.RateFactors[kind]; ok {
		return x
	}

	return 1
}

// stepTime returns the time of a decode step, in which each of n answers gets one token.
func (e Engine) stepTime(n int) time.Duration { return e.Step + time.Duration(n)*e.StepPerSlot }

// tokensPerSecond returns the tokens per second that one replica generates with all its slots in use.
func (e Engine) tokensPerSecond() float64 {
	return float64(e.Slots) / e.stepTime(e.Slots).Seconds()
}

// share returns use/all, or infinity if all is not positive.
func share(use, all float64) float64 {
	if all <= 0 {
		return math.Inf(1)
	}

	return use / all
}
