package placing

import (
	"math"
	"time"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
)

// demandWindow is the time constant of the average of arriving prompt tokens: longer than bursts that queues
// can absorb, shorter than a shift of the traffic mix.
const demandWindow = 5 * time.Second

// decayingSum is a sum that decays exponentially with the time constant demandWindow.
type decayingSum struct {
	at  time.Time
	sum float64
}

func (s *decayingSum) add(now time.Time, n float64) {
	s.sum = s.value(now) + n
	s.at = now
}

func (s *decayingSum) value(now time.Time) float64 {
	if s.at.IsZero() {
		return 0
	}

	return s.sum * math.Exp(-max(now.Sub(s.at).Seconds(), 0)/demandWindow.Seconds())
}

// AddDemand records a request to service with the given number of prompt tokens that are not expected to be cached.
func (b *Board) AddDemand(now time.Time, service entity.ServiceName, tokens entity.Tokens) {
	b.mu.Lock()
	defer b.mu.Unlock()

	sum, ok := b.demand[service]
	if !ok {
		sum = &decayingSum{}
		b.demand[service] = sum
	}

	sum.add(now, float64(tokens))
}

// LocalDemands returns the prompt tokens per second that arrive at this host, by service, without those that are
// expected to be cached.
func (b *Board) LocalDemands(now time.Time) map[entity.ServiceName]float64 {
	b.mu.Lock()
	defer b.mu.Unlock()

	demands := make(map[entity.ServiceName]float64, len(b.demand))
	for service, sum := range b.demand {
		demands[service] = sum.value(now) / demandWindow.Seconds()
	}

	return demands
}

// MergeDemands replaces the demands last reported by the host from: the result of LocalDemands there. The Board retains
// demands.
func (b *Board) MergeDemands(now time.Time, from entity.HostID, demands map[entity.ServiceName]float64) {
	b.mu.Lock()
	defer b.mu.Unlock()

	p := b.peers[from]
	p.at = now
	p.demands = demands
	b.peers[from] = p
}

// KnownHosts returns the number of hosts whose work and demands this host knows, itself included.
func (b *Board) KnownHosts() int {
	b.mu.Lock()
	defer b.mu.Unlock()

	return len(b.peers) + 1
}

// TotalDemand returns the prompt tokens per second that arrive at this host and its peers for service, without those
// that are expected to be cached.
func (b *Board) TotalDemand(now time.Time, service entity.ServiceName) float64 {
	sum := b.LocalDemands(now)[service]

	b.mu.Lock()
	defer b.mu.Unlock()

	for _, p := range b.peers {
		sum += p.demands[service]
	}

	return sum
}

// HostLoad is the work for one service that comes from one host. It is work that the host has counted itself.
type HostLoad struct {
	Host    entity.HostID // "" for this host
	Prefill float64       // prompt tokens per second that arrive there, without those that are expected to be cached
	Decode  DecodeLoad    // work under way on the targets of the service
}

// HostLoads returns the work of this host and of each peer that has reported for service, whose targets are ids.
func (b *Board) HostLoads(now time.Time, service entity.ServiceName, ids []entity.TargetID) []HostLoad {
	own := b.LocalDemands(now)[service]

	of := make(map[entity.TargetID]bool, len(ids))
	for _, id := range ids {
		of[id] = true
	}

	add := func(l *DecodeLoad, w *TargetWork) {
		if of[w.Target] {
			l.Running += w.Running
			l.KVTokens += w.KVTokens
		}
	}

	b.mu.Lock()
	defer b.mu.Unlock()

	this := HostLoad{Prefill: own}
	for _, w := range b.own {
		add(&this.Decode, w)
	}

	loads := []HostLoad{this}

	for id, p := range b.peers {
		l := HostLoad{Host: id, Prefill: p.demands[service]}
		for i := range p.work {
			add(&l.Decode, &p.work[i])
		}

		loads = append(loads, l)
	}

	return loads
}
