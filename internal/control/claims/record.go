package claims

import (
	"time"

	"github.com/dotterelflow/dotterelflow/internal/control/table"
	"github.com/dotterelflow/dotterelflow/internal/wire/verdict"
)

// MaxAnswerBytes bounds the answer that a Result keeps.
const MaxAnswerBytes = 8 << 10

// State is where a claim stands. The zero value is Claimed.
type State uint8

const (
	// Claimed means that the claimant, and nobody else, may dispatch the request.
	Claimed State = iota
	// Done means that there is a Result; a definite one never changes again.
	Done
	// Abandoned means that the request was not dispatched and won't be under this nonce; a repeat may claim it.
	Abandoned
)

// Result is what a claimed request came to.
type Result struct {
	Verdict verdict.Verdict `json:"verdict"`
	Status  int             `json:"status,omitempty"` // HTTP status; zero means none was seen
	Answer  []byte          `json:"answer,omitempty"` // nil where Dropped
	Dropped bool            `json:"dropped,omitempty"`
}

// trimmed returns r without an answer that has more than limit bytes.
func (r Result) trimmed(limit int) Result {
	if len(r.Answer) > limit {
		r.Answer = nil
		r.Dropped = true
	}

	return r
}

// Record is the claim of one key.
type Record struct {
	Key         Key              `json:"key"`
	Fingerprint Fingerprint      `json:"fingerprint"`
	Nonce       Nonce            `json:"nonce"`
	Claimant    table.HostID     `json:"claimant"`
	DataCentre  table.DataCentre `json:"data-centre,omitempty"`
	Request     table.RequestID  `json:"request,omitempty"` // under which a target knows it
	Target      table.TargetID   `json:"target,omitempty"`  // where it was to be dispatched
	State       State            `json:"state,omitempty"`
	At          time.Time        `json:"at"` // when the claimant asked, by its clock
	Result      Result           `json:"result,omitzero"`
}

// Final reports whether r never changes again while it is kept.
func (r *Record) Final() bool {
	return r.State == Done && r.Result.Verdict != verdict.MayHaveRun
}

// recordBytes bounds the encoded size of a Record and its key without its answer and names.
const recordBytes = 400

// size bounds the encoded size of r, in bytes.
func (r *Record) size() int {
	names := 2*len(r.Key.Account) + len(r.Claimant) + len(r.DataCentre) + len(r.Request) + len(r.Target)

	return recordBytes + names + (len(r.Result.Answer)+2)/3*4
}
