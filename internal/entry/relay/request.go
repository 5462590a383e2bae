// Package relay takes a caller's request to the targets that serve it and their answer back.
//
// Which target, how often and how long is decided by the packages under control; this package carries
// the decisions out, in order, for one request at a time. A Relay is safe for concurrent use.
package relay

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/dotterelflow/dotterelflow/internal/control/fleet"
	"github.com/dotterelflow/dotterelflow/internal/control/placing"
	"github.com/dotterelflow/dotterelflow/internal/control/table"
	"github.com/dotterelflow/dotterelflow/internal/wire/verdict"
)

// Request is one caller's request with its whole body. It does not change once built.
type Request struct {
	ID      table.RequestID
	Method  string
	URI     string // as the caller wrote it, with the query
	Host    string
	Path    string
	Header  http.Header // what a target gets of it
	Body    []byte
	Arrived time.Time
	Limit   time.Duration // that the caller waits; zero states none
	Prompt  table.Tokens
	Output  table.Tokens // most that the caller takes
	Parts   []placing.Part
	After   string // last event that the caller already has; empty for none
}

// Send says how a request goes to one target.
type Send struct {
	Target fleet.Target
	Rank   int
	Limit  time.Duration // left for the target
	After  string        // last event that the caller has of this answer; empty for none
	From   *Handle       // where the KV cache of the prompt is; nil for nowhere
}

// Handle names the KV cache of a prompt that a target keeps for another one to fetch.
type Handle struct {
	Target fleet.Target
	Name   string
}

// Answer is a target's answer. Body is closed by whoever got the Answer.
type Answer struct {
	Status int
	Header http.Header // what a caller gets of it
	Body   io.ReadCloser
	NotRun bool // the target says that it has not run the request
}

// Targets sends requests to targets, each at most once. Errors carry a verdict.
type Targets interface {
	// Run sends the request to be answered.
	Run(ctx context.Context, r *Request, s Send) (*Answer, error)
	// Read has the prompt of the request read only. An Answer in place of a Handle is the target's refusal.
	Read(ctx context.Context, r *Request, s Send) (*Handle, *Answer, error)
	// Release frees a KV cache that will not be fetched.
	Release(ctx context.Context, h Handle) error
}

// Reply takes the answer to the caller. Exactly one of Whole, Begin and Refuse is called, once.
type Reply interface {
	// Whole sends an answer that was read to its end.
	Whole(status int, header http.Header, body []byte)
	// Begin starts a stream; Event sends a part of it. Return without Break ends it as complete.
	Begin(status int, header http.Header)
	Event(p []byte) error
	// Break ends the stream so that it cannot be taken for complete.
	Break()
	// Refuse sends this host's own final answer.
	Refuse(err *verdict.Error)
}
