package entity

import "time"

// Request is one caller's request as an entry host handles it. It is built before admission and passed by value;
// later steps may change fields of their copy.
type Request struct {
	ID          RequestID
	Account     AccountID
	Kind        Kind
	Key         string // idempotency key; empty for none
	Path        string
	ContentType string
	Body        []byte
	Prefill     Tokens // estimated length of the prompt
	Decode      Tokens // bound or estimate of the output length
	Prefix      uint64 // hash of the start of the prompt; zero for none
	Fingerprint string // hash of account, kind and body
	Arrived     time.Time
	Deadline    time.Time

	// EventsSeen is the number of answer events that the caller has already received.
	EventsSeen uint64
	// SeenVersion is the software version of the engine that generated what the rest of the answer builds on: the events
	// seen, or the KV cache of the prompt.
	SeenVersion SoftwareVersion
	// Forwarded is set on a request received from a peer; it is not forwarded again.
	Forwarded bool
	// Preferred is the target to try first; empty for none.
	Preferred TargetID
	// PreferredDecode is the engine to try first for the decode phase when Preferred runs only the prefill.
	PreferredDecode TargetID
	// Phase is the phase that this part of a request runs; Mixed stands for both phases.
	Phase Role
	// Pinned is the only target that may serve the request; empty for any.
	Pinned TargetID
	// Resume is set when Pinned may already be running the request.
	Resume bool
}
