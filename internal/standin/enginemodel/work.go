package enginemodel

import (
	"time"

	"github.com/zeebo/errs"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
)

// Error is the class of this package's errors.
var Error = errs.Class("batch")

// Errors of Submit and ChangeRole, after which no work is added and no change is ordered.
var (
	ErrChanging = Error.New("role change under way")
	ErrRole     = Error.New("role does not run this part of a request")
)

// Prefix is the hash of a prompt prefix; zero means none.
type Prefix uint64

// Work is a request, or the remaining part of a request, to run on an engine.
type Work struct {
	Request      entity.RequestID
	Urgency      entity.Urgency
	Prefill      entity.Tokens // prompt tokens
	Decode       entity.Tokens // output tokens, those already generated included
	Prefix       Prefix
	PrefixTokens entity.Tokens // prompt tokens that Prefix covers
	Imported     bool          // prefill is complete; the KV cache comes from another engine
	Offset       entity.Tokens // output tokens already generated
}

// EventType is the type of an Event.
type EventType uint8

const (
	// FirstToken reports the first output token.
	FirstToken EventType = iota
	// PrefillDone reports that a prefill engine has completed and removed Event.Work, which goes to a decode engine next.
	PrefillDone
	// Finished reports the last output token.
	Finished
	// RoleChanged reports the end of a role change.
	RoleChanged
)

// Event is an event of an engine.
type Event struct {
	At     time.Time
	Type   EventType
	Work   Work          // the submitted work with its present Offset and Imported; zero for RoleChanged
	Cached entity.Tokens // prompt tokens that came from the prefix cache
}

// CacheEvent reports that a prefix entered or left the cache.
type CacheEvent struct {
	Number uint64 // consecutive per engine; a gap means that events were lost
	At     time.Time
	Prefix Prefix
	Stored bool // false means evicted
}

// job is a request in an engine.
type job struct {
	work           Work
	order          uint64        // number of the Submit call that added the request
	prefixLookedUp bool          // whether cached is known
	cached         entity.Tokens // prompt tokens that came from the prefix cache
	prefillLeft    float64       // prompt tokens still to process
	finish         float64       // value of Engine.servedPerStream at which the stream ends; set when it starts
}

// rank returns the priority of u; lower ranks run first.
func rank(u entity.Urgency) int {
	switch u {
	case entity.Urgent:
		return 0
	case entity.Ordinary:
		return 1
	default:
		return 2
	}
}

// jobHeap is a container/heap of jobs, ordered by less.
type jobHeap struct {
	jobs []*job
	less func(a, b *job) bool
}

// byUrgency orders jobs by urgency, then by arrival.
func byUrgency(a, b *job) bool {
	if ra, rb := rank(a.work.Urgency), rank(b.work.Urgency); ra != rb {
		return ra < rb
	}

	return a.order < b.order
}

// byFinish orders jobs by the end of their stream, then by arrival.
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
