package engine

import (
	"time"

	"github.com/zeebo/errs"

	"github.com/dotterelflow/dotterelflow/internal/control/table"
)

// Error is the class of this package's errors.
var Error = errs.Class("engine")

// Header names of an engine call.
const (
	HeaderRequestID  = "X-Request-Id"
	HeaderPriority   = "X-Priority"    // name of an urgency
	HeaderResumeFrom = "X-Resume-From" // first sequence number wanted; set only to resume
	HeaderPhase      = "X-Phase"       // "prefill", "decode" or absent for both
	HeaderKVSource   = "X-Kv-Source"   // ip:port of the engine that holds the KV cache
	HeaderVerdict    = "X-Verdict"     // verdict of a refusal
	HeaderPrefix     = "X-Prefix-Hash" // hash of the prompt prefix, for the engine's cache events
)

// Done is the data of the event that ends a whole answer.
const Done = "[DONE]"

// Request is one call of an engine.
type Request struct {
	ID         table.RequestID
	Path       string // "/v1/chat/completions" or "/v1/completions"
	Body       []byte // JSON with "stream": true
	Urgency    table.Urgency
	Resume     bool   // resume the answer of ID instead of starting it
	ResumeFrom uint64 // first sequence number wanted, counted from zero
	Phase      table.Role
	KVSource   string // ip:port of the engine to import the KV cache from; empty for none
}

// Event is one part of an answer. Sequence counts from zero without gaps.
type Event struct {
	Sequence uint64
	Data     []byte
}

// Report is an engine's load report.
type Report struct {
	At             time.Time    `json:"at"`
	Running        int          `json:"running"`
	Queued         int          `json:"queued"`
	PrefillPending table.Tokens `json:"prefill-pending"`
	DecodePending  table.Tokens `json:"decode-pending"`
	Role           table.Role   `json:"role"`
	Changing       bool         `json:"changing"`
	Boot           string       `json:"boot"` // names the run of the engine's process
}
