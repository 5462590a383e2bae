package batch

import (
	"time"

	"github.com/zeebo/errs"

	"github.com/dotterelflow/dotterelflow/internal/control/table"
)

// Error is the class of this package's errors.
var Error = errs.Class("batch")

// Errors of Submit and ChangeRole. Each means that nothing was taken in.
var (
	ErrChanging = Error.New("role change under way")
	ErrRole     = Error.New("role does not run this part")
)

// Prefix is the hash of a prompt prefix; zero means none.
type Prefix uint64

// Work is one request, or what is left of it, for an engine.
type Work struct {
	Request      table.RequestID
	Urgency      table.Urgency
	Prefill      table.Tokens // prompt tokens
	Decode       table.Tokens // output tokens in all
	Prefix       Prefix
	PrefixTokens table.Tokens // prompt tokens that Prefix covers
	Imported     bool         // the KV cache came from another engine: no prefill
	Offset       table.Tokens // output tokens that were already generated
}

// EventType tells events apart.
type EventType uint8

const (
	// FirstToken reports the first output token.
	FirstToken EventType = iota
	// PrefillDone reports that Event.Work waits for a decode engine; this engine let go of it.
	PrefillDone
	// Finished reports the last output token.
	Finished
	// RoleChanged reports the end of a role change.
	RoleChanged
)

// Event is one thing that happened in an engine.
type Event struct {
	At     time.Time
	Type   EventType
	Work   Work         // as submitted, with Offset brought up to date
	Cached table.Tokens // prompt tokens that came from the prefix cache
}

// CacheEvent reports that a prefix entered or left the cache.
type CacheEvent struct {
	Number uint64 // consecutive per engine; a hole means that events were lost
	At     time.Time
	Prefix Prefix
	Stored bool // false: evicted
}

// job is one request inside an engine.
type job struct {
	work   Work
	order  uint64
	begun  bool
	cached table.Tokens
	left   float64 // prompt tokens still to run
	finish float64 // value of Engine.served at which the stream ends
}

// rank orders urgencies for service, the most urgent lowest.
func rank(u table.Urgency) int {
	switch u {
	case table.Urgent:
		return 0
	case table.Ordinary:
		return 1
	default:
		return 2
	}
}

// jobHeap is a container/heap of jobs by less.
type jobHeap struct {
	jobs []*job
	less func(a, b *job) bool
}

func byUrgency(a, b *job) bool {
	if ra, rb := rank(a.work.Urgency), rank(b.work.Urgency); ra != rb {
		return ra < rb
	}

	return a.order < b.order
}

func byFinish(a, b *job) bool {
	if a.finish != b.finish {
		return a.finish < b.finish
	}

	return a.order < b.order
}

// Len implements heap.Interface.
func (h *jobHeap) Len() int { return len(h.jobs) }

// Less implements heap.Interface.
func (h *jobHeap) Less(i, j int) bool { return h.less(h.jobs[i], h.jobs[j]) }

// Swap implements heap.Interface.
func (h *jobHeap) Swap(i, j int) { h.jobs[i], h.jobs[j] = h.jobs[j], h.jobs[i] }

// Push implements heap.Interface.
func (h *jobHeap) Push(x any) { h.jobs = append(h.jobs, x.(*job)) }

// Pop implements heap.Interface.
func (h *jobHeap) Pop() any {
	n := len(h.jobs) - 1
	j := h.jobs[n]
	h.jobs[n] = nil
	h.jobs = h.jobs[:n]

	return j
}
