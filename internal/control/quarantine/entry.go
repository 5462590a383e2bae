package quarantine

import (
	"crypto/sha256"
	"encoding/hex"
	"time"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
)

// Fingerprint identifies a request by its account, kind and body.
type Fingerprint [16]byte

// FingerprintOf returns the fingerprint of a request, a truncated SHA-256.
func FingerprintOf(account entity.AccountID, kind entity.KindName, body []byte) Fingerprint {
	h := sha256.New()
	h.Write([]byte(account))
	h.Write([]byte{0})
	h.Write([]byte(kind))
	h.Write([]byte{0})
	h.Write(body)

	var f Fingerprint
	copy(f[:], h.Sum(nil))

	return f
}

// String returns f in hex.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }

// MarshalText encodes f in hex.
func (f Fingerprint) MarshalText() ([]byte, error) { return []byte(f.String()), nil }

// UnmarshalText decodes hex. It fails on text that is not hex or has another length.
func (f *Fingerprint) UnmarshalText(text []byte) error {
	if hex.DecodedLen(len(text)) != len(f) {
		return Error.New("fingerprint has %d characters instead of 32 hex digits", len(text))
	}

	_, err := hex.Decode(f[:], text)

	return Error.Wrap(err)
}

// Loss is the loss of a target while a fingerprint ran on it.
type Loss struct {
	Target entity.TargetID `json:"target"`
	Since  time.Time       `json:"since"`           // when the run began
	At     time.Time       `json:"at"`              // when the loss was detected
	Trial  bool            `json:"trial,omitempty"` // the run was a trial
}

// Entry is the state of one fingerprint that the hosts replicate. Merging entries in any order and
// any number of times gives the same result.
type Entry struct {
	Fingerprint Fingerprint   `json:"fingerprint"`
	Episode     uint64        `json:"episode"` // increases with the first loss after a clearance or expiry
	Origin      entity.HostID `json:"origin"`  // the only host that may run a trial
	Losses      []Loss        `json:"losses,omitempty"`
	Cleared     bool          `json:"cleared,omitempty"`
	Until       time.Time     `json:"until"` // when the suspicion or quarantine ends
}

// maxLosses is the number of losses that puts a fingerprint in quarantine.
const maxLosses = 2

// Quarantined reports whether no host may run e's fingerprint.
func (e *Entry) Quarantined() bool {
	return !e.Cleared && len(e.Losses) >= maxLosses
}

// suspect reports whether e's fingerprint may run only as a trial.
func (e *Entry) suspect() bool {
	return !e.Cleared && len(e.Losses) == 1
}

// same reports whether l and other are one loss, recorded by two hosts: both runs were on the target
// at some common moment, and both or neither were trials. A run that began after the target had restarted is
// a separate loss.
func (l Loss) same(other Loss) bool {
	return l.Target == other.Target && l.Trial == other.Trial &&
		l.Since.Before(other.At) && other.Since.Before(l.At)
}

// addLoss records l unless e holds the same loss or has maxLosses already, and reports whether it added l.
func (e *Entry) addLoss(l Loss) bool {
	for i := range e.Losses {
		if e.Losses[i].same(l) {
			return false
		}
	}

	if len(e.Losses) >= maxLosses {
		return false
	}

	e.Losses = append(e.Losses, l)

	return true
}

// merge joins other into e and reports whether e changed. The later episode replaces the earlier one.
func (e *Entry) merge(other Entry) bool {
	if other.Episode < e.Episode {
		return false
	}

	if other.Episode > e.Episode {
		*e = other
		e.Losses = append([]Loss(nil), other.Losses...)

		return true
	}

	changed := false

	if other.Cleared && !e.Cleared {
		e.Cleared, e.Losses, changed = true, nil, true
	}

	if !e.Cleared {
		for _, l := range other.Losses {
			changed = e.addLoss(l) || changed
		}
	}

	if other.Origin < e.Origin {
		e.Origin, changed = other.Origin, true
	}

	if other.Until.After(e.Until) {
		e.Until, changed = other.Until, true
	}

	return changed
}
