package placing

import (
	"math"
	"time"

	"github.com/dotterelflow/dotterelflow/internal/control/table"
)

// demandWindow is the time constant over which arriving prompts are averaged: longer than bursts that queues
// can bear, shorter than a shift of the mix.
const demandWindow = 5 * time.Second

// rate is a sum that decays over demandWindow.
type rate struct {
	at  time.Time
	sum float64
}

func (r *rate) add(now time.Time, n float64) {
	r.sum = r.decayed(now) + n
	r.at = now
}

func (r *rate) decayed(now time.Time) float64 {
	if r.at.IsZero() {
		return 0
	}

	return r.sum * math.Exp(-max(now.Sub(r.at).Seconds(), 0)/demandWindow.Seconds())
}

// Offered notes a request to service whose prompt has tokens that no replica is thought to hold.
func (b *Board) Offered(now time.Time, service table.ServiceName, tokens table.Tokens) {
	b.mu.Lock()
	defer b.mu.Unlock()

	r, ok := b.offered[service]
	if !ok {
		r = &rate{}
		b.offered[service] = r
	}

	r.add(now, float64(tokens))
}

// Demands returns the prompt tokens per second that arrive at this host, by service.
func (b *Board) Demands(now time.Time) map[table.ServiceName]float64 {
	b.mu.Lock()
	defer b.mu.Unlock()

	demands := make(map[table.ServiceName]float64, len(b.offered))
	for service, r := range b.offered {
		demands[service] = r.decayed(now) / demandWindow.Seconds()
	}

	return demands
}

// MergeDemands takes the prompt tokens per second that arrive at the host from.
func (b *Board) MergeDemands(now time.Time, from table.HostID, demands map[table.ServiceName]float64) {
	b.mu.Lock()
	defer b.mu.Unlock()

	p := b.peers[from]
	p.at = now
	p.demands = demands
	b.peers[from] = p
}

// Demand returns the prompt tokens per second that arrive at all hosts for service.
func (b *Board) Demand(now time.Time, service table.ServiceName) float64 {
	sum := b.Demands(now)[service]

	b.mu.Lock()
	defer b.mu.Unlock()

	for _, p := range b.peers {
		sum += p.demands[service]
	}

	return sum
}
