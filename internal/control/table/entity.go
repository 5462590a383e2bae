package table

import "time"

// Urgency orders work. The zero value is Ordinary.
type Urgency uint8

const (
	// Ordinary work shares what urgent work leaves.
	Ordinary Urgency = iota
	// Urgent work has reserved room.
	Urgent
	// Patient work may wait but lands within its deadline.
	Patient
)

// UrgencyCount is the number of urgencies.
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

// UnmarshalText decodes a name of an urgency and fails on any other text.
func (u *Urgency) UnmarshalText(text []byte) error {
	i, err := indexOf(urgencyNames[:], string(text), "urgency")
	*u = Urgency(i)

	return err
}

// Role is the part of a request that an engine runs. The zero value is Mixed.
type Role uint8

const (
	// Mixed engines run prefill and decode.
	Mixed Role = iota
	// Prefill engines run prompts and export the KV cache.
	Prefill
	// Decode engines import the KV cache and generate.
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

// UnmarshalText decodes a name of a role and fails on any other text.
func (r *Role) UnmarshalText(text []byte) error {
	i, err := indexOf(roleNames[:], string(text), "role")
	*r = Role(i)

	return err
}

// Objective is a service-level objective of a request kind. A zero duration sets no bound.
type Objective struct {
	FirstToken    time.Duration // from arrival to the first output token
	BetweenTokens time.Duration // mean time between output tokens of one answer
	Total         time.Duration // from arrival to the end of the answer
	Good          float64       // share of requests that must meet the bounds, within (0, 1]
}

// Kind is a request kind of one client account.
type Kind struct {
	Name       KindName
	Urgency    Urgency
	AtMostOnce bool        // must not run twice; needs an idempotency key
	Model      Model       // set for kinds that engines serve
	Service    ServiceName // set for kinds that a plain service serves
	Deadline   time.Duration
	MaxOutput  Tokens
	Objective  Objective
}

// Limits bound what one client account may use at a time, fleet-wide per entry host share.
// A zero field sets no limit.
type Limits struct {
	Open             int     // requests in flight
	PrefillPerSecond Tokens  // prompt tokens
	DecodePerSecond  Tokens  // output tokens
	Weight           float64 // share among accounts of equal urgency; zero counts as 1
}

// Account is a client account as the configuration in force states it.
type Account struct {
	ID        AccountID
	KeyHashes []string // hex SHA-256 of bearer keys
	Kinds     map[KindName]Kind
	Limits    Limits
}

// TargetType tells engines from services. The zero value is Engine.
type TargetType uint8

const (
	// Engine targets serve a model.
	Engine TargetType = iota
	// Service targets serve plain requests.
	Service
)

// Target is an engine or service replica as the configuration in force states it.
type Target struct {
	ID            TargetID
	Type          TargetType
	DataCentre    DataCentre
	Address       string // ip:port
	Model         Model
	Service       ServiceName
	Role          Role
	ChecksFencing bool // refuses an order with an older fencing number, also after its own restart
	Gated         bool // an engine that obeys an order to admit nothing and counts its requests in flight
	Slots         int  // requests that run at a time
	PrefillRate   Tokens
	DecodeRate    Tokens
	Leaving       bool // accepts no new work
}

// Load is a target's last load report.
type Load struct {
	Target         TargetID
	At             time.Time // when the target took the report
	Running        int
	Queued         int
	PrefillPending Tokens
	DecodePending  Tokens
	Role           Role
	Changing       bool   // an order is being carried out
	Boot           string // names the run of the target's process; empty where it tells none
}
