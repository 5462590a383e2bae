package crashsync

import (
	"math"
	"time"

	"github.com/dotterelflow/dotterelflow/internal/control/crashtracker"
	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/wire/peer"
)

// maxTargetBytes bounds the id of a target in a record from a peer.
const maxTargetBytes = 256

func encode(r crashtracker.Record) *peer.CrashRecord {
	encoded := &peer.CrashRecord{
		Request: uint64(r.Request), Part: r.Part, Clearances: r.Clearances, LeftMs: uint32(min(max(r.Left.Milliseconds(), 0), math.MaxUint32)),
	}
	for _, target := range r.Targets {
		encoded.Targets = append(encoded.Targets, string(target))
	}

	return encoded
}

// decode returns encoded as records. It leaves out targets without a valid id.
func decode(encoded []*peer.CrashRecord) []crashtracker.Record {
	records := make([]crashtracker.Record, 0, len(encoded))

	for _, e := range encoded {
		r := crashtracker.Record{
			Request: crashtracker.Fingerprint(e.GetRequest()), Part: e.GetPart(), Clearances: e.GetClearances(),
			Left: time.Duration(e.GetLeftMs()) * time.Millisecond,
		}

		for _, target := range e.GetTargets() {
			if target != "" && len(target) <= maxTargetBytes {
				r.Targets = append(r.Targets, entity.TargetID(target))
			}
		}

		records = append(records, r)
	}

	return records
}
