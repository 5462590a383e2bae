package entity

import "time"

// Urgency is the scheduling class of a request. The zero value is Ordinary.
type Urgency uint8

const (
	// Ordinary work shares the capacity that urgent work leaves.
	Ordinary Urgency = iota
	// Urgent work has reserved capacity.
	Urgent
	// Patient work may be delayed but finishes within its deadline.
	Patient
)

// UrgencyCount is the number of Urgency values.
const UrgencyCount = 3

var urgencyNames = [...]string{Ordinary: "ordinary", Urgent: "urgent", Patient: "patient"}

// String returns the kebab-case name of u.
func (u Urgency) String() string {
	return urgencyNames[u%UrgencyCount]
}

// MarshalText encodes u as its name.
func (u Urgency) MarshalText() ([]byte, error) {
	return []byte(u.String()), nil
}

// UnmarshalText decodes the name of an urgency and fails on any other text.
func (u *Urgency) UnmarshalText(text []byte) error {
	i, err := indexOf(urgencyNames[:], string(text), "urgency")
	*u = Urgency(i)

	return err
}

// Role says which phases of a request an engine runs. The zero value is Mixed.
type Role uint8

const (
	// Mixed engines run prefill and decode.
	Mixed Role = iota
	// Prefill engines run prompts and export the KV cache.
	Prefill
	// Decode engines import the KV cache and generate output tokens.
	Decode
)

var roleNames = [...]string{Mixed: "mixed", Prefill: "prefill", Decode: "decode"}

// String returns the kebab-case name of r.
func (r Role) String() string {
	return roleNames[int(r)%len(roleNames)]
}

// MarshalText encodes r as its name.
func (r Role) MarshalText() ([]byte, error) {
	return []byte(r.String()), nil
}

// UnmarshalText decodes the name of a role and fails on any other text.
func (r *Role) UnmarshalText(text []byte) error {
	i, err := indexOf(roleNames[:], string(text), "role")
	*r = Role(i)

	return err
}

// Objective is a service-level objective of a request kind. A zero duration sets no bound.
type Objective struct {
	FirstToken    time.Duration // time from arrival to the first output token
	BetweenTokens time.Duration // mean time between output tokens of one answer
	Total         time.Duration // time from arrival to the end of the answer
	Good          float64       // share of requests that must meet the bounds, in (0, 1]
}

// Kind is a request kind of one client account.
type Kind struct {
	Name       KindName
	Urgency    Urgency
	AtMostOnce bool        // must not run twice; requires an idempotency key
	Model      Model       // set for kinds served by engines
	Service    ServiceName // set for kinds served by a plain service
	Deadline   time.Duration
	MaxOutput  Tokens
	Objective  Objective
}

// Limits bounds the usage of one client account. Each admission controller of an entry host applies the
// limits in full. A zero field sets no limit.
type Limits struct {
	Open             int     // maximum number of requests in flight
	PrefillPerSecond Tokens  // maximum number of prompt tokens per second
	DecodePerSecond  Tokens  // maximum number of output tokens per second
	Weight           float64 // share among accounts of equal urgency; zero counts as 1
}

// Account is a client account in the active configuration.
type Account struct {
	ID        AccountID
	KeyHashes []string // hex SHA-256 of bearer keys
	Kinds     map[KindName]Kind
	Limits    Limits
}

// TargetType distinguishes engines from services. The zero value is Engine.
type TargetType uint8

const (
	// Engine targets serve a model.
	Engine TargetType = iota
	// Service targets serve plain requests.
	Service
)

// Target is an engine or service replica in the active configuration.
type Target struct {
	ID            TargetID
	Type          TargetType
	DataCentre    DataCentre
	Address       string // ip:port
	Model         Model
	Service       ServiceName
	Role          Role
	ChecksFencing bool   // refuses orders with an older fencing number, even after it restarts
	Gated         bool   // an engine that can be ordered to admit no requests, and that counts its requests in flight
	Slots         int    // maximum number of concurrent requests
	PrefillRate   Tokens // prompt tokens per second
	DecodeRate    Tokens // output tokens per second
	Leaving       bool   // takes no new work
}

// Load is a target's last load report.
type Load struct {
	Target         TargetID
	At             time.Time // when the target made the report
	Running        int
	Queued         int
	PrefillPending Tokens
	DecodePending  Tokens
	Role           Role
	Changing       bool   // an order is being executed
	Boot           string // identifies the run of the target's process; empty if the target reports none
	// Version is the software version of the target; empty if the report states none or came from another host.
	Version SoftwareVersion
}
