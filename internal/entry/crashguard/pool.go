package crashguard

import (
	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/control/quarantine"
)

// Pool identifies the engines on which a request may run: those that may start a request for a model,
// or, with Decode, those that may run only its decode phase. An engine can be in both pools.
type Pool struct {
	Model  entity.Model `json:"model"`
	Decode bool         `json:"decode,omitempty"`
}

// Has reports whether an engine with the given role is in p.
func (p Pool) Has(role entity.Role) bool {
	if p.Decode {
		return role != entity.Prefill
	}

	return role != entity.Decode
}

// waiter identifies a request that waits for a trial.
type waiter struct {
	pool        Pool
	fingerprint quarantine.Fingerprint
}

// poolDigest is the digest of one pool for a peer.
type poolDigest struct {
	Pool   Pool              `json:"pool"`
	Digest quarantine.Digest `json:"digest"`
}

func poolOf(req entity.Request) Pool {
	return Pool{Model: req.Kind.Model, Decode: req.Phase == entity.Decode}
}

// poolsOf returns the pools that an engine of model can be in.
func poolsOf(model entity.Model) [2]Pool {
	return [...]Pool{{Model: model}, {Model: model, Decode: true}}
}
