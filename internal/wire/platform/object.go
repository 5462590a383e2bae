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
	// ErrUnavailable means that the platform refused the call or could not be reached; nothing was written.
	ErrUnavailable = errs.New("platform: unavailable")
	// ErrUnknown means that no valid answer arrived: the write may have taken effect or may still do so.
	ErrUnknown = errs.New("platform: outcome unknown")
	// ErrTooLarge means that the value exceeds MaxValueBytes; nothing was written.
	ErrTooLarge = errs.New("platform: value too large")
)

// MaxValueBytes is the maximum size of an object's value, in bytes.
const MaxValueBytes = 1 << 20

// Key is the name of an object, for example "config/head".
type Key string

// Version is the platform revision at which an object was last written; it only grows.
// Zero means that the object does not exist.
type Version uint64

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
	Since      time.Time `json:"since"`
}
