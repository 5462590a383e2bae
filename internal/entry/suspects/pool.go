package suspects

import (
	"github.com/dotterelflow/dotterelflow/internal/control/quarantine"
	"github.com/dotterelflow/dotterelflow/internal/control/table"
)

// Pool names the engines among which a request is tried: those that may begin a request for a
// model, or those that may run a decode alone. An engine can be in both.
type Pool struct {
	Model  table.Model `json:"model"`
	Decode bool        `json:"decode,omitempty"`
}

// Has reports whether an engine of role is in p.
func (p Pool) Has(role table.Role) bool {
	if p.Decode {
		return role != table.Prefill
	}

	return role != table.Decode
}

// waiter is a request that waits for a trial of its own.
type waiter struct {
	pool        Pool
	fingerprint quarantine.Fingerprint
}

// poolDigest is what a peer is told of one pool.
type poolDigest struct {
	Pool   Pool              `json:"pool"`
	Digest quarantine.Digest `json:"digest"`
}

func poolOf(req table.Request) Pool {
	return Pool{Model: req.Kind.Model, Decode: req.Phase == table.Decode}
}

func poolsOf(model table.Model) [2]Pool {
	return [...]Pool{{Model: model}, {Model: model, Decode: true}}
}
