package crashtracker

import (
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
)

// refuseAfter is the number of lost targets after which a request is refused. The platform allows a request to
// lose three targets.
const refuseAfter = 3

// Fingerprint identifies a request by a hash of its host, URI and body, independent of its request ID.
type Fingerprint uint64

// String returns f as 16 hexadecimal digits.
func (f Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(f)) }

// FingerprintOf returns the fingerprint of the request for uri on host with the given body.
func FingerprintOf(host, uri string, body []byte) Fingerprint {
	var d xxhash.Digest

	d.Reset()

	// Writing to a digest never fails.
	_, _ = d.WriteString(host)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(uri)
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(body)

	return Fingerprint(d.Sum64())
}

// Loss records that a target was lost while it ran a request.
type Loss struct {
	Request Fingerprint
	Target  entity.TargetID
}

// Record is what a host knows of one request under which targets were lost. Records of one request that come from several
// hosts are joined: the one with more clearances replaces the other, and with equal clearances their targets are united.
// The result does not depend on the order in which they are joined.
type Record struct {
	Request Fingerprint
	// Clearances is the number of times that a complete answer has shown the losses until then to have other causes.
	Clearances uint64
	// Targets are the distinct targets lost since the last clearance, at most the number at which the request is refused.
	Targets []entity.TargetID
	// Left is the time until the record expires.
	Left time.Duration
}

// Refused reports whether the request of r is refused.
func (r Record) Refused() bool { return len(r.Targets) >= refuseAfter }

// join adds the knowledge in other, a record of the same request, to r and reports whether that changed r. The losses of
// a refused request are not extended, so that hosts which learn of different losses still end with equal records.
func (r *Record) join(other Record) bool {
	if other.Clearances < r.Clearances {
		return false
	}

	changed := other.Clearances > r.Clearances
	if changed {
		r.Clearances, r.Targets = other.Clearances, nil
	}

	for _, target := range other.Targets {
		if r.Refused() {
			break
		}

		if !slices.Contains(r.Targets, target) {
			r.Targets = append(r.Targets, target)
			changed = true
		}
	}

	return changed
}

// checksum returns a hash of r that is equal on all hosts with the same knowledge. All records of a refused request with
// equal clearances have the same one, whichever targets they name.
func (r Record) checksum() uint64 {
	var targets uint64

	if r.Refused() {
		targets = 1
	} else {
		for _, target := range r.Targets {
			targets ^= xxhash.Sum64String(string(target)) // does not depend on their order
		}
	}

	return mix(uint64(r.Request) + mix(r.Clearances+mix(targets)))
}

// mix returns a value of which each bit depends on all bits of x (the finalizer of SplitMix64).
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb

	return x ^ x>>31
}
