package entity

import "strings"

// AccountID identifies a client account.
type AccountID string

// TargetID identifies a target: an engine or a service replica.
type TargetID string

// SoftwareVersion names the version of the software that a target runs; empty if the target states none, which counts as a
// version of its own. What targets of two versions produce cannot be joined to one stream.
type SoftwareVersion string

// maxVersionBytes limits the length of a version that is read from a message.
const maxVersionBytes = 64

// ParseSoftwareVersion returns the version that text names. It reports false if text is too long or has characters other
// than printable ASCII without the space, which the id of an event cannot hold.
func ParseSoftwareVersion(text string) (SoftwareVersion, bool) {
	if len(text) > maxVersionBytes || strings.ContainsFunc(text, func(r rune) bool { return r <= ' ' || r > '~' }) {
		return "", false
	}

	return SoftwareVersion(text), true
}

// HostID identifies one run of an entry host; a restarted host has a new HostID.
type HostID string

// DataCentre is the name of a data centre.
type DataCentre string

// RequestID identifies one request from its arrival to its final answer.
type RequestID string

// KindName is the name of a request kind within an account, for example "booking-check".
type KindName string

// Model is the name of a model that engines serve.
type Model string

// ServiceName is the name of a plain service that may have several replicas.
type ServiceName string

// Generation is the version number of an accepted configuration; it only increases.
type Generation uint64

// Fence is the fencing number of a lease; it increases each time the lease is taken. It holds the era of the store in which the lease was
// taken, above a count of the takeovers, so that a store that has lost the last records gives out no number again. A lease of a store
// without eras counts from 1.
type Fence uint64

// fenceEraShift is the position of the era in a Fence. It leaves 24 bits for the takeovers of an era, and 29 bits for the era in a number that
// decoders of JSON read exactly.
const fenceEraShift = 24

// NextFence returns the fencing number for a lease that is taken in the given era of the store, after one with the number last.
func NextFence(last Fence, era uint64) Fence {
	return max(last, Fence(era<<fenceEraShift)) + 1
}

// Era returns the era of the store in which the lease was taken.
func (f Fence) Era() uint64 { return uint64(f >> fenceEraShift) }

// Tokens is a number of prompt or output tokens.
type Tokens int64
