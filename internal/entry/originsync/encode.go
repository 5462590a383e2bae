package originsync

import (
	"time"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/control/origins"
	"github.com/dotterelflow/dotterelflow/internal/wire/peer"
)

// maxVersionBytes bounds the version in a record from a peer.
const maxVersionBytes = 256

func encode(r origins.Record) *peer.OriginRecord {
	return &peer.OriginRecord{
		Stream: uint64(r.Stream), Version: string(r.Version), Change: r.Change, LeftMs: uint32(min(max(r.Left, 0), origins.Lifetime).Milliseconds()),
	}
}

// decode returns the record that r encodes. It reports false for nil and for a version that is too long.
func decode(r *peer.OriginRecord) (origins.Record, bool) {
	if r == nil || len(r.GetVersion()) > maxVersionBytes {
		return origins.Record{}, false
	}

	return origins.Record{
		Stream: origins.StreamID(r.GetStream()), Version: entity.SoftwareVersion(r.GetVersion()), Change: r.GetChange(),
		Left: time.Duration(r.GetLeftMs()) * time.Millisecond,
	}, true
}
