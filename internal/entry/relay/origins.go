package relay

import (
	"context"
	"time"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/control/fleet"
)

// Origins knows at which software version streams are generated, those of other entry hosts included. Its methods must be
// safe for concurrent use.
type Origins interface {
	// Record notes that the stream of service that the request began is generated at version. It does not block. The returned
	// channel is closed once the record would outlive this host, or if there is no need or no host for that.
	Record(service entity.ServiceName, began entity.RequestID, version entity.SoftwareVersion) <-chan struct{}
	// Begun notes that the caller is about to get the first event of the stream of service that the request began, after Record. It does not
	// block.
	Begun(service entity.ServiceName, began entity.RequestID)
	// New returns the versions of service that other hosts may not know of yet.
	New(service entity.ServiceName) []entity.SoftwareVersion
	// Unlisted returns the versions of service that hosts would not know of which start after all others were killed.
	Unlisted(service entity.ServiceName) []entity.SoftwareVersion
	// Find returns the origin of the stream of service that the request began. It reports false if the version is unknown.
	Find(ctx context.Context, service entity.ServiceName, began entity.RequestID) (Origin, bool)
}

// Origin is what is known of the version of a stream.
type Origin struct {
	Version entity.SoftwareVersion
	Source  OriginSource
	Age     time.Duration // how long ago the record was made or renewed; negative if there is none
}

// OriginSource says how the version of a stream is known.
type OriginSource string

const (
	// FromThisHost means that this host has a record.
	FromThisHost OriginSource = "this-host"
	// FromPeer means that another host had a record.
	FromPeer OriginSource = "peer"
	// FromOnlyVersion means that there is no record, and replicas of only one version served when the stream can have begun.
	FromOnlyVersion OriginSource = "only-version"
)

// soleVersion is Origins without records. It knows the versions of streams only while targets of one version are listed.
type soleVersion struct {
	fleet func() *fleet.Snapshot
}

// Record returns a nil channel, for which no job waits.
func (soleVersion) Record(entity.ServiceName, entity.RequestID, entity.SoftwareVersion) <-chan struct{} {
	return nil
}

func (soleVersion) Begun(entity.ServiceName, entity.RequestID) {}

func (soleVersion) New(entity.ServiceName) []entity.SoftwareVersion { return nil }

func (soleVersion) Unlisted(entity.ServiceName) []entity.SoftwareVersion { return nil }

func (s soleVersion) Find(_ context.Context, service entity.ServiceName, _ entity.RequestID) (Origin, bool) {
	versions := s.fleet().Versions()[service]
	if len(versions) != 1 {
		return Origin{}, false
	}

	return Origin{Version: versions[0], Source: FromOnlyVersion, Age: -1}, true
}
