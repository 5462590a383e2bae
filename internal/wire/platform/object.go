package platform

import (
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("platform")

// Outcomes of a call. They may be wrapped; test with errors.Is.
var (
	// ErrConflict says that the object had another version; nothing was written.
	ErrConflict = errs.New("platform: version conflict")
	// ErrUnavailable says that the platform refused or could not be reached; nothing was written.
	ErrUnavailable = errs.New("platform: unavailable")
	// ErrUnknown says that the answer was lost: a write may have taken effect, now or later.
	ErrUnknown = errs.New("platform: outcome unknown")
	// ErrTooLarge says that the value exceeds MaxValueBytes; nothing was written.
	ErrTooLarge = errs.New("platform: value too large")
)

// MaxValueBytes bounds the value of one object, in bytes.
const MaxValueBytes = 1 << 20

// Key names an object, for example "config/head".
type Key string

// Version is the revision of the platform that last wrote an object; it only grows.
// Zero means that the object does not exist.
type Version uint64

// Object is a stored value. An absent object has Version zero and no Value.
type Object struct {
	Key     Key     `json:"key"`
	Version Version `json:"version"`
	Value   []byte  `json:"value,omitempty"`
}

// HostState is the platform's view of a machine.
type HostState string

// States of a listed host.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
	HostGone    HostState = "gone"
)

// Host is an entry of the platform's lagging host list.
type Host struct {
	Address string `json:"address"` // ip:port, as the process announces it
	// DataCentre is where the host is; empty where the platform does not tell.
	DataCentre string    `json:"data-centre,omitempty"`
	State      HostState `json:"state"`
	Since      time.Time `json:"since"`
}
