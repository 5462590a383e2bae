package table

import "time"

// Request is one caller's request as admitted to an entry host. It does not change once built.
type Request struct {
	ID          RequestID
	Account     AccountID
	Kind        Kind
	Key         string // idempotency key; empty for none
	Path        string
	ContentType string
	Body        []byte
	Prefill     Tokens // estimate of the prompt
	Decode      Tokens // bound or estimate of the output
	Prefix      uint64 // hash of the prompt's first part; zero for none
	Fingerprint string // hash of account, kind and body
	Arrived     time.Time
	Deadline    time.Time

	// Seen is the number of events of the answer that the caller already has; zero for none.
	Seen uint64
	// Forwarded is set on a request that came from a peer; it is not forwarded again.
	Forwarded bool
	// Preferred names the target to try first; empty for none.
	Preferred TargetID
	// HandOver names the engine to try first for the decode, when Preferred runs only the prompt.
	HandOver TargetID
	// Phase is set on the part of a request that one engine runs; Mixed stands for both phases.
	Phase Role
	// Pinned names the only target that may serve the request; empty for any.
	Pinned TargetID
	// Resume is set when Pinned may already be running the request.
	Resume bool
}
