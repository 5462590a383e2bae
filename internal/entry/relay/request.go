// Package relay forwards a caller's request to the targets that serve it, and their answer to the caller.
//
// The packages under control choose the target and set the limits on retries and time; this package applies them
// to each request. It serves the entry hosts of package platform/host. Those of package entry/host use packages requests
// and dispatch instead, which also handle client accounts and idempotency keys.
package relay

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/dotterelflow/dotterelflow/internal/control/catalog"
	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/control/fleet"
	"github.com/dotterelflow/dotterelflow/internal/control/placing"
	"github.com/dotterelflow/dotterelflow/internal/wire/verdict"
)

// Request is one caller's request with its whole body. It is immutable.
type Request struct {
	ID          entity.RequestID
	Method      string
	URI         string // as sent by the caller, with the query
	Host        string
	Path        string
	Header      http.Header // the fields that are forwarded to a target
	Body        []byte
	Arrived     time.Time
	Timeout     time.Duration  // how long the caller waits, from Arrived; zero if the caller does not state it
	Prompt      entity.Tokens  // length of the prompt
	Output      entity.Tokens  // the caller's limit on the length of the answer
	Parts       []placing.Part // the parts of the prompt, in order; replicas cache prefixes of this list
	LastEventID string         // id of the last event that the caller already has; empty for none
	// Resumes is the id of the request that brought the first event of the stream that this one takes up; empty if it takes
	// none up or the caller does not say so.
	Resumes entity.RequestID
	// Key is the key of the caller's account. It is never passed on, logged or counted.
	Key string
	// Handover is set if another host has sent the request to this one; nil for a request of a caller of this host.
	Handover *Handover
}

// Handover is what a host that reaches no target of a service tells the host that serves a request in its place. That host
// does not send the request on.
type Handover struct {
	Configuration catalog.Version   // by which the other host handles the request; an older one must not be used
	Avoid         []entity.TargetID // targets that the other host knows to be leaving
	Counted       bool              // the other host has counted the request towards the retry budget
	Prefilled     bool              // a replica has prefilled the prompt for the other host
	Account       entity.AccountID  // account of the request, which the other host has found by its key; empty for none
	Rank          int               // urgency of the request
}

// Send describes one send of a request to a target.
type Send struct {
	Target      fleet.Target
	Rank        int              // urgency of the request; zero is the most urgent
	Account     entity.AccountID // account of the request; empty for none
	Timeout     time.Duration    // time left until the request's deadline
	LastEventID string           // id of the last event of this answer that the caller has; empty for none
	KVCache     *KVHandle        // KV cache of the prompt; nil if the target has to prefill the prompt itself
}

// KVHandle names the KV cache of a prompt, which Target keeps until another replica fetches it.
type KVHandle struct {
	Target fleet.Target
	Name   string
}

// Answer is a target's answer. The receiver must close Body.
type Answer struct {
	Status int
	Header http.Header // the fields that are forwarded to the caller
	Body   io.ReadCloser
	NotRun bool // the target states that it has not run the request
	Open   bool // the answer has neither a length nor chunks, and ends with its connection
}

// Targets sends requests to targets. Each call sends at most once. Errors carry a verdict (see verdict.Of).
type Targets interface {
	// Run sends the request to a target that runs it and returns the answer.
	Run(ctx context.Context, r *Request, s Send) (*Answer, error)
	// Prefill makes a target prefill the prompt of the request, without generating an answer. A non-nil Answer is the
	// target's refusal; the handle is then nil.
	Prefill(ctx context.Context, r *Request, s Send) (*KVHandle, *Answer, error)
	// Release frees a KV cache that no replica will fetch.
	Release(ctx context.Context, h KVHandle) error
	// HasEnded reports whether the process of a target is known to have ended. It sends no request.
	HasEnded(ctx context.Context, t fleet.Target) bool
}

// Reply writes the answer to the caller. Exactly one of Reply.Respond, Reply.Begin and Reply.Refuse is called, once.
type Reply interface {
	// Respond sends an answer that was read to its end.
	Respond(status int, header http.Header, body []byte)
	// Begin starts a stream, which is complete if Relay.Serve returns without a call of Reply.Abort.
	Begin(status int, header http.Header)
	// WriteEvent sends one or more whole events of the stream. An error means that the caller cannot be written to. The
	// implementation must not retain p.
	WriteEvent(p []byte) error
	// Abort ends the stream in a way that the caller cannot mistake for a complete one.
	Abort()
	// Refuse sends err as the final answer of this host.
	Refuse(err *verdict.Error)
}
