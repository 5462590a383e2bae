// Package ceiling works out what a fleet of model replicas could earn at best, for each split of its replicas
// between reading prompts and generating answers.
//
// It is a fluid model: work is shared evenly, nothing queues below full use, and urgent kinds are served first
// above it. What binds a real fleet besides is not in it: bursts within a second, uneven placing, links and
// the time that changes of roles take.
package ceiling

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// draws is the number of prompts of each kind that stand for all.
	draws = 4000
	// seed makes the draws the same each time.
	seed = 1
	// sizePart is the part of a request's credit that goes by its size, and sizeMost bounds the whole by the
	// worth of its kind, as the platform credits answers.
	sizePart = 0.7
	sizeMost = 4
)

// Engine describes the replicas of one model service.
type Engine struct {
	Replicas      int
	Slots         int           // answers at a time on each
	ReadPerSecond float64       // prompt tokens
	Step          time.Duration // for one token of each answer under way
	StepPerSlot   time.Duration // more for each answer
	First         time.Duration // from the end of the reading to the first event
	KVTokens      float64       // of KV cache on each
}

// Kind is one kind of request.
type Kind struct {
	Name      string
	Rank      int     // 0 is the most urgent
	PerSecond float64 // requests
	Objective time.Duration
	Own       Sizes   // prompt tokens of the caller's own
	Shared    float64 // prompt tokens that it shares with others, in the mean
	Output    float64 // tokens, in the mean
	Worth     float64 // in time
	Late      float64 // later
}

// Sizes is a distribution with a long tail.
type Sizes struct {
	Mean   float64
	Spread float64 // of the logarithm
	Most   float64
}

// Moment is a part of a day with even load.
type Moment struct {
	Lasts  time.Duration
	Load   map[string]float64 // times the usual rate, by kind; missing means 1
	Absent float64            // part of the replicas that is away
}

// Options say how well the prompts are placed. The zero value reads all prompts whole.
type Options struct {
	Held float64 // part of the shared tokens that the chosen replica holds
}

// Split is what one split of the replicas comes to over a day.
type Split struct {
	Readers  int
	Read     float64 // prompt tokens to read, as part of what can be read; the highest of the day
	Generate float64 // the same of tokens to generate
	Memory   float64 // KV cache in use, as part of all; the highest of the day
	Credit   float64 // earned, as part of what is asked for
}

// Splits works out all splits of e's replicas that leave one on each side.
func Splits(e Engine, kinds []Kind, day []Moment, opts Options) []Split {
	kinds = slices.Clone(kinds)
	slices.SortStableFunc(kinds, func(a, b Kind) int { return cmp.Compare(a.Rank, b.Rank) })

	prompts := make([]prompt, len(kinds))
	for i, k := range kinds {
		prompts[i] = measure(e, k, opts)
	}

	var splits []Split

	for readers := 1; readers < e.Replicas; readers++ {
		s := Split{Readers: readers}

		var asked, earned float64

		for _, m := range day {
			a, g := s.play(e, kinds, prompts, m)
			asked += a * m.Lasts.Seconds()
			earned += g * m.Lasts.Seconds()
		}

		if asked > 0 {
			s.Credit = earned / asked
		}

		splits = append(splits, s)
	}

	return splits
}

// Best returns the split that earns most; the zero Split for none.
func Best(splits []Split) Split {
	var best Split

	for _, s := range splits {
		if s.Credit > best.Credit {
			best = s
		}
	}

	return best
}

// prompt is what the prompts of a kind come to in the mean.
type prompt struct {
	tokens float64 // to read
	asked  float64 // credit of one if it is in time
	earned float64 // the same with those late that no idle replica reads in time
}

func measure(e Engine, k Kind, opts Options) prompt {
	r := rand.New(rand.NewPCG(seed, seed))
	sum := prompt{}
	mean := k.Own.Mean + k.Shared + k.Output

	for range draws {
		own := k.Own.draw(r)
		read := own + k.Shared*(1-opts.Held)
		took := time.Duration(read/e.ReadPerSecond*float64(time.Second)) + e.First
		weight := min(1-sizePart+sizePart*(own+k.Shared+k.Output)/mean, sizeMost)

		sum.tokens += read
		sum.asked += weight * k.Worth

		if took <= k.Objective {
			sum.earned += weight * k.Worth
		} else {
			sum.earned += weight * k.Late
		}
	}

	return prompt{tokens: sum.tokens / draws, asked: sum.asked / draws, earned: sum.earned / draws}
}

func (s Sizes) draw(r *rand.Rand) float64 {
	drawn := s.Mean * math.Exp(s.Spread*r.NormFloat64()-s.Spread*s.Spread/2)
	if s.Most > 0 {
		drawn = min(drawn, s.Most)
	}

	return drawn
}

// play adds one moment and returns the credit asked for and earned in a second of it.
func (s *Split) play(e Engine, kinds []Kind, prompts []prompt, m Moment) (asked, earned float64) {
	here := 1 - m.Absent
	canRead := float64(s.Readers) * here * e.ReadPerSecond
	generators := float64(e.Replicas-s.Readers) * here
	canGenerate := generators * e.tokensPerSecond()

	var read, generate, memory float64

	for i, k := range kinds {
		rate := k.PerSecond * m.load(k.Name)
		full := rate * prompts[i].tokens

		// What is left after more urgent kinds.
		served := 1.0
		if full > 0 {
			served = min(served, max(canRead-read, 0)/full)
		}

		if tokens := rate * k.Output; tokens > 0 {
			served = min(served, max(canGenerate-generate, 0)/tokens)
		}

		read += full
		generate += rate * k.Output
		memory += rate * k.Output * e.step(e.Slots/2).Seconds() * (k.Own.Mean + k.Shared + k.Output)
		asked += rate * prompts[i].asked
		earned += rate * prompts[i].earned * served
	}

	s.Read = max(s.Read, part(read, canRead))
	s.Generate = max(s.Generate, part(generate, canGenerate))
	s.Memory = max(s.Memory, part(memory, generators*e.KVTokens))

	return asked, earned
}

func (m Moment) load(kind string) float64 {
	if x, ok := m.Load[kind]; ok {
		return x
	}

	return 1
}

// step is the time for one token of each of n answers.
func (e Engine) step(n int) time.Duration { return e.Step + time.Duration(n)*e.StepPerSlot }

// tokensPerSecond is what one replica generates with all its slots in use.
func (e Engine) tokensPerSecond() float64 {
	return float64(e.Slots) / e.step(e.Slots).Seconds()
}

func part(use, all float64) float64 {
	if all <= 0 {
		return math.Inf(1)
	}

	return use / all
}
