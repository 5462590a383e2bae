package trace

import (
	"fmt"
	"time"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
)

// Rates and slots of each modelled engine.
const (
	PrefillRate entity.Tokens = 2500 // prompt tokens per second
	DecodeRate  entity.Tokens = 400  // output tokens per second of all streams together
	StreamRate  entity.Tokens = 40   // output tokens per second of one stream
	Slots                     = 16   // streams at a time
)

// ServiceName is the service of both deployments that is not a model.
const ServiceName entity.ServiceName = "bookings"

// ModelName is the model of both deployments.
const ModelName entity.Model = "assistant"

const betweenTokensObjective = 64 * time.Millisecond

// serviceKind returns a kind of calls to ServiceName. The argument total is both its deadline and its objective.
func serviceKind(name entity.KindName, u entity.Urgency, atMostOnce bool, total time.Duration, rate float64) Kind {
	return Kind{
		Kind: entity.Kind{
			Name: name, Urgency: u, AtMostOnce: atMostOnce, Service: ServiceName, Deadline: total,
			Objective: entity.Objective{Total: total, Good: 0.99},
		},
		PerSecond: rate,
		Prompt:    LogNormal{},
		Output:    LogNormal{Median: 1, Max: 1},
	}
}

// modelKind returns a kind of requests to ModelName. Its deadline is the total time of o.
func modelKind(name entity.KindName, u entity.Urgency, o entity.Objective, rate float64, prompt, output LogNormal) Kind {
	o.Good = 0.99

	return Kind{
		Kind: entity.Kind{
			Name: name, Urgency: u, Model: ModelName, Deadline: o.Total, MaxOutput: output.Max, Objective: o,
		},
		PerSecond: rate,
		Prompt:    prompt,
		Output:    output,
	}
}

// withPrefixes returns k with n shared prompt prefixes of the given length.
func (k Kind) withPrefixes(n int, tokens entity.Tokens) Kind {
	k.Prefixes, k.PrefixTokens = n, tokens

	return k
}

// atMostOnce returns k as a kind whose requests must not run twice.
func (k Kind) atMostOnce() Kind {
	k.AtMostOnce = true

	return k
}

// Dombud returns the deployment of Dombud Inspekcje, which surveys houses and whose reports must be delivered.
func Dombud() Deployment {
	quick := entity.Objective{FirstToken: 1700 * time.Millisecond, Total: 6 * time.Second}
	steady := entity.Objective{FirstToken: 4 * time.Second, BetweenTokens: betweenTokensObjective, Total: time.Minute}
	eventual := entity.Objective{Total: 10 * time.Minute}
	grade := entity.Objective{Total: 4 * time.Minute}

	return Deployment{
		Name:        "dombud",
		Weights:     entity.Weights{Goodput: 1, RoleChange: 0.5},
		Centres:     centres([]int{5, 5, 4, 4}, []int{2, 2, 2, 2}, []int{1, 1, 1, 1}),
		CentreDelay: 1500 * time.Microsecond,
		ClientDelay: time.Millisecond,
		Accounts:    8,
		Kinds: []Kind{
			modelKind("booking-check", entity.Urgent, quick, 3.4, LogNormal{350, 0.3, 1000}, LogNormal{40, 0.3, 120}).withPrefixes(4, 200),
			serviceKind("photo-acknowledgement", entity.Urgent, false, 500*time.Millisecond, 5),
			modelKind("defect-note", entity.Ordinary, steady, 4.2, LogNormal{900, 0.4, 3000}, LogNormal{250, 0.4, 800}).withPrefixes(6, 400),
			modelKind("report-draft", entity.Patient, eventual, 0.5, LogNormal{6000, 0.3, 14000}, LogNormal{1800, 0.3, 4000}).withPrefixes(8, 2000),
			modelKind("severity-grade", entity.Patient, grade, 2.6, LogNormal{2500, 0.3, 6000}, LogNormal{12, 0.2, 30}).atMostOnce(),
		},
		Phases:         phases("report-draft", 4, "severity-grade", 4),
		PrefillEngines: 9,
	}
}

// Qafzeh returns the deployment of Qafzeh Leisure Bookings, which takes bookings of sessions, parties and school trips.
func Qafzeh() Deployment {
	quick := entity.Objective{FirstToken: 1700 * time.Millisecond, Total: 6 * time.Second}
	steady := entity.Objective{FirstToken: 4 * time.Second, BetweenTokens: betweenTokensObjective, Total: time.Minute}
	eventual := entity.Objective{Total: 10 * time.Minute}

	return Deployment{
		Name:        "qafzeh",
		Weights:     entity.Weights{Goodput: 1, RoleChange: 4},
		Centres:     centres([]int{6, 6, 6}, []int{3, 2, 2}, []int{1, 1, 1}),
		CentreDelay: 500 * time.Microsecond,
		ClientDelay: time.Millisecond,
		Accounts:    8,
		Kinds: []Kind{
			serviceKind("slot-hold", entity.Urgent, true, 500*time.Millisecond, 3),
			serviceKind("deposit", entity.Ordinary, true, 2*time.Second, 1),
			modelKind("waiver-check", entity.Urgent, quick, 3.5, LogNormal{1200, 0.3, 3000}, LogNormal{15, 0.3, 40}).withPrefixes(3, 500),
			modelKind("parent-question", entity.Ordinary, steady, 6, LogNormal{300, 0.4, 1200}, LogNormal{120, 0.5, 500}).withPrefixes(6, 150),
			modelKind("party-request", entity.Patient, eventual, 1, LogNormal{5000, 0.3, 12000}, LogNormal{350, 0.3, 900}).withPrefixes(6, 1500),
			modelKind("confirmation", entity.Patient, eventual, 1.6, LogNormal{600, 0.3, 1500}, LogNormal{700, 0.3, 1600}),
		},
		Phases:         phases("party-request", 5, "confirmation", 4),
		PrefillEngines: 8,
	}
}

// centres returns data centres with these numbers of engines, entry hosts and service replicas.
func centres(engines, hosts, services []int) []Centre {
	var all []Centre

	for i := range engines {
		name := entity.DataCentre(fmt.Sprint("dc-", i+1))
		all = append(all, Centre{Name: name, Hosts: hosts[i], Engines: engines[i], Services: services[i]})
	}

	return all
}

// phases returns the phases of a day, shortened to minutes: a wave of each of two kinds, a holiday peak in which
// the load swings between these kinds, a phase with drained engines and one with a data centre cut off. firstFactor
// and secondFactor multiply the rate of the kind in its wave.
func phases(first entity.KindName, firstFactor float64, second entity.KindName, secondFactor float64) []Phase {
	minute := func(n float64) time.Duration { return time.Duration(n * float64(time.Minute)) }
	swing := map[entity.KindName]float64{first: (firstFactor + 1) / 2, second: (secondFactor + 1) / 2}

	return []Phase{
		{Name: "calm", From: 0, To: minute(1.5)},
		{Name: "wave of " + string(first), From: minute(1.5), To: minute(5.5), Wave: true, KindFactors: map[entity.KindName]float64{first: firstFactor}},
		{Name: "calm 2", From: minute(5.5), To: minute(8.5)},
		{Name: "wave of " + string(second), From: minute(8.5), To: minute(12.5), Wave: true, KindFactors: map[entity.KindName]float64{second: secondFactor}},
		{Name: "calm 3", From: minute(12.5), To: minute(15)},
		{Name: "holiday peak", From: minute(15), To: minute(20), Wave: true, RateFactor: 1.15, KindFactors: swing, SwingPeriod: minute(1)},
		{Name: "calm 4", From: minute(20), To: minute(21)},
		{Name: "engines drained", From: minute(21), To: minute(23.5)},
		{Name: "data centre cut", From: minute(23.5), To: minute(25)},
		{Name: "calm 5", From: minute(25), To: minute(25.5)},
	}
}
