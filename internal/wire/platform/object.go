package platform

import (
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("platform")

// Errors of calls to the platform. They may be wrapped; test with errors.Is.
var (
	// ErrConflict means that the object has another version than expected; nothing was written.
	ErrConflict = errs.New("platform: version conflict")
	// ErrUnavailable means that the platform refused the call or the call was not sent; nothing was written. For a read
	// through Client, it also means that no valid answer arrived.
	ErrUnavailable = errs.New("platform: unavailable")
	// ErrUnknown means that no valid answer arrived: a write may have taken effect or may still do so.
	ErrUnknown = errs.New("platform: outcome unknown")
	// ErrTooLarge means that the value exceeds MaxValueBytes or the platform's own limit; nothing was written.
	ErrTooLarge = errs.New("platform: value too large")
)

// MaxValueBytes is the maximum size of an object's value, in bytes.
const MaxValueBytes = 1 << 20

// Key is the name of an object, for example "config/head".
type Key string

// Version is the position of an object's last write in the history of the platform's store: the store's era, which rises each time that the
// store comes back from an older copy, and its revision, which grows within an era. Versions compare in the order of the writes.
// An object that does not exist has the revision zero. The era is zero for a store without eras.
type Version uint64

// revisionBits is the number of bits of a Version that hold the revision.
const revisionBits = 40

// Limits of the parts of a Version.
const (
	MaxRevision = 1<<revisionBits - 1
	MaxEra      = 1<<(64-revisionBits) - 1
)

// VersionAt returns the Version with an era and a revision, which must be within MaxEra and MaxRevision.
func VersionAt(era, revision uint64) Version {
	return Version(era<<revisionBits | revision&MaxRevision)
}

// Era returns the era of the store.
func (v Version) Era() uint64 { return uint64(v >> revisionBits) }

// Revision returns the revision within the era; zero means that the object does not exist.
func (v Version) Revision() uint64 { return uint64(v & MaxRevision) }

// Object is a stored value. An absent object has Version zero and no Value.
type Object struct {
	Key     Key     `json:"key"`
	Version Version `json:"version"`
	Value   []byte  `json:"value,omitempty"`
}

// HostState is the state of a host in the platform's host list.
type HostState string

// Values of HostState.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
	HostGone    HostState = "gone"
)

// Host is an entry of the platform's host list, which lags behind the actual state.
type Host struct {
	Address string `json:"address"` // ip:port that the process announced
	// DataCentre is where the host runs; empty if the platform does not report it.
	DataCentre string    `json:"data-centre,omitempty"`
	State      HostState `json:"state"`
	Since      time.Time `json:"since"` // when the host entered State
}
