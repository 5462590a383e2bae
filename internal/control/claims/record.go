package claims

import (
	"time"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/wire/verdict"
)

// MaxAnswerBytes is the largest answer that a Result keeps, in bytes.
const MaxAnswerBytes = 8 << 10

// State is the state of a claim. The zero value is Claimed.
type State uint8

const (
	// Claimed means that only the claimant may dispatch the request.
	Claimed State = iota
	// Done means that the claim has a Result. A result other than MayHaveRun never changes again.
	Done
	// Abandoned means that the request was not dispatched and won't be under this nonce. A repeat may claim the key.
	Abandoned
)

// Result is the outcome of a claimed request.
type Result struct {
	Verdict       verdict.Verdict `json:"verdict"`
	Status        int             `json:"status,omitempty"`  // HTTP status; zero means none was received
	Answer        []byte          `json:"answer,omitempty"`  // nil if there is none or it was dropped
	AnswerDropped bool            `json:"dropped,omitempty"` // the answer was too large to keep
}

// withoutLargeAnswer returns r without an answer that has more than limit bytes.
func (r Result) withoutLargeAnswer(limit int) Result {
	if len(r.Answer) > limit {
		r.Answer = nil
		r.AnswerDropped = true
	}

	return r
}

// Record is the claim of one key.
type Record struct {
	Key         Key               `json:"key"`
	Fingerprint Fingerprint       `json:"fingerprint"`
	Nonce       Nonce             `json:"nonce"`
	Claimant    entity.HostID     `json:"claimant"`
	DataCentre  entity.DataCentre `json:"data-centre,omitempty"`
	Request     entity.RequestID  `json:"request,omitempty"` // identifies the request at the target
	Target      entity.TargetID   `json:"target,omitempty"`  // target that the claimant intends to dispatch to
	State       State             `json:"state,omitempty"`
	ClaimedAt   time.Time         `json:"at"` // when the key was claimed, by the claimant's clock
	Result      Result            `json:"result,omitzero"`
}

// Final reports whether r is Done with a result other than MayHaveRun, and so never changes while it is kept.
func (r *Record) Final() bool {
	return r.State == Done && r.Result.Verdict != verdict.MayHaveRun
}

// recordOverheadBytes is an upper bound of the encoded size of a Record and its key, not counting answer and names.
const recordOverheadBytes = 400

// size returns an upper bound of the encoded size of r, in bytes.
func (r *Record) size() int {
	names := 2*len(r.Key.Account) + len(r.Claimant) + len(r.DataCentre) + len(r.Request) + len(r.Target)

	return recordOverheadBytes + names + (len(r.Result.Answer)+2)/3*4
}
