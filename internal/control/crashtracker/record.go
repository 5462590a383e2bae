package crashtracker

import (
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
)

const (
	// refuseAfter is the number of lost targets after which a request is refused. The platform allows a request to
	// lose three targets.
	refuseAfter = 3
	// refusePartAfter is the same for requests with a part. The platform allows a part to crash five targets.
	refusePartAfter = 4
	// maxPartTargets is the most targets that the record of a part names. Those beyond refusePartAfter tell parts apart that are
	// often in the same prompts.
	maxPartTargets = 16
)

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

// FingerprintOfPart returns the fingerprint of the part id of the prompts of service.
func FingerprintOfPart(service entity.ServiceName, id uint64) Fingerprint {
	var d xxhash.Digest

	d.ResetWithSeed(id)

	_, _ = d.WriteString("part ") // writing to a digest never fails
	_, _ = d.WriteString(string(service))

	return Fingerprint(d.Sum64())
}

// Loss records that a target was lost while it ran a request.
type Loss struct {
	Request Fingerprint
	Target  entity.TargetID
}

// Record is what a host knows of one request, or of one part of prompts, under which targets were lost. Records of one request
// that come from several hosts are joined: the one with more clearances replaces the other, and with equal clearances their
// targets are united. The result does not depend on the order in which they are joined.
type Record struct {
	Request Fingerprint
	Part    bool // Request is the fingerprint of a part
	// Clearances is the number of times that a complete answer, or for a part the begin of one, has shown the losses until then to
	// have other causes.
	Clearances uint64
	// Targets are the distinct targets lost since the last clearance, at most the number at which the request is refused, or
	// maxPartTargets for a part.
	Targets []entity.TargetID
	// Left is the time until the record expires.
	Left time.Duration
}

// Refused reports whether the request of r is refused. A part of which that holds may have been refused for another one; see
// Table.RefusesParts.
func (r Record) Refused() bool {
	if r.Part {
		return len(r.Targets) >= refusePartAfter
	}

	return len(r.Targets) >= refuseAfter
}

// isFull reports whether r names as many targets as it can.
func (r Record) isFull() bool {
	if r.Part {
		return len(r.Targets) >= maxPartTargets
	}

	return r.Refused()
}

// lifetime returns how long r counts after its last change.
func (r Record) lifetime() time.Duration {
	if r.Part && r.Refused() {
		return partLifetime
	}

	return lifetime
}

// join adds the knowledge in other, a record of the same request, to r and reports whether that changed r. A full record
// is not extended, so that hosts which learn of different losses still end with equal records.
func (r *Record) join(other Record) bool {
	if other.Clearances < r.Clearances {
		return false
	}

	changed := other.Clearances > r.Clearances
	if changed {
		r.Clearances, r.Targets = other.Clearances, nil
	}

	for _, target := range other.Targets {
		if r.isFull() {
			break
		}

		if !slices.Contains(r.Targets, target) {
			r.Targets = append(r.Targets, target)
			changed = true
		}
	}

	return changed
}

// checksum returns a hash of r that is equal on all hosts with the same knowledge. All full records of a request with
// equal clearances have the same one, whichever targets they name.
func (r Record) checksum() uint64 {
	var targets uint64

	if r.isFull() {
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
