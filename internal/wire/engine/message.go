package engine

import (
	"time"

	"github.com/zeebo/errs"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
)

// Error is the class of this package's errors.
var Error = errs.Class("engine")

// Header names of a call to an engine.
const (
	HeaderRequestID  = "X-Request-Id"  // in a response, id of the request that it answers; a refusal without it counts only as the first response on a connection
	HeaderPriority   = "X-Priority"    // name of an entity.Urgency
	HeaderResumeFrom = "X-Resume-From" // first sequence number to send; set only to resume
	HeaderPhase      = "X-Phase"       // "prefill" or "decode"; absent for both phases
	HeaderKVSource   = "X-Kv-Source"   // ip:port of the engine that holds the KV cache
	HeaderVerdict    = "X-Verdict"     // verdict of an error response
	// HeaderVersion names a software version: in a response that of the engine, in a request that of what the answer builds
	// on, the KV cache or the events before. An engine of another version refuses such a request with status 412. A version
	// that entity.ParseSoftwareVersion does not accept counts as none.
	HeaderVersion = "X-Software-Version"
	// HeaderPrefix carries the hash of the prompt prefix, by which an engine can name the prefix in the events that report
	// what it caches. Client does not send it.
	HeaderPrefix = "X-Prefix-Hash"
)

// Done is the data of the event that ends a complete answer.
const Done = "[DONE]"

// Request is one completion request to an engine.
type Request struct {
	ID         entity.RequestID
	Path       string // "/v1/chat/completions" or "/v1/completions"
	Body       []byte // JSON with "stream": true
	Urgency    entity.Urgency
	Resume     bool        // resume the answer of ID instead of starting it
	ResumeFrom uint64      // first sequence number to receive, counted from zero; used only with Resume
	Phase      entity.Role // phase to run; entity.Mixed means both
	KVSource   string      // ip:port of the engine to import the KV cache from; empty for none
	// Version is the software version of the KV cache or of the events before ResumeFrom. An engine of another version must
	// not go on. If Version is empty, any engine may use a KV cache, but only one that states no version may resume.
	Version entity.SoftwareVersion
	// Stated is called with the software version that the engine states, before the first event; nil means no call.
	Stated func(entity.SoftwareVersion)
}

// Event is one event of an answer. Sequence numbers count from zero without gaps.
type Event struct {
	Sequence uint64
	Data     []byte
}

// Report is an engine's load report.
type Report struct {
	At             time.Time     `json:"at"` // when the engine made the report
	Running        int           `json:"running"`
	Queued         int           `json:"queued"`
	PrefillPending entity.Tokens `json:"prefill-pending"`
	DecodePending  entity.Tokens `json:"decode-pending"`
	Role           entity.Role   `json:"role"`
	Changing       bool          `json:"changing"` // an order is being carried out
	Boot           string        `json:"boot"`     // identifies the run of the engine process; changes when the engine restarts
	// Version is the software version that the engine runs; empty if it states none.
	Version entity.SoftwareVersion `json:"version,omitempty"`
}
