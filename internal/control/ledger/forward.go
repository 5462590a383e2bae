package ledger

import (
	"context"

	"github.com/jonboulle/clockwork"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
)

// Forwarder sends a claim to the ledger of another host.
type Forwarder interface {
	// Claim calls Ledger.Claim on another host, to, and returns its result.
	Claim(ctx context.Context, to entity.HostID, req Request) (Outcome, error)
}

// ClaimThrough claims req.Key for the ledger's own host through another host, to, which batches the
// claims of the key's shard. If that fails, or to is empty or the own host, the ledger claims the key
// itself under the same nonce. Results and errors are those of Claim.
func (l *Ledger) ClaimThrough(ctx context.Context, f Forwarder, to entity.HostID, req Request) (Outcome, error) {
	req.Claimant = l.opts.Host

	if to == "" || to == l.opts.Host || l.isSpent(req.Nonce) {
		return l.Claim(ctx, req)
	}

	o, ok := l.forward(ctx, f, to, req)
	if !ok {
		req.Forwarded = true

		return l.Claim(ctx, req)
	}

	return l.ownOutcome(req, o)
}

// forward claims req.Key through the host to. It reports false if the call failed or its answer does not match req.
func (l *Ledger) forward(ctx context.Context, f Forwarder, to entity.HostID, req Request) (Outcome, bool) {
	ctx, cancel := clockwork.WithTimeout(ctx, l.clock, l.opts.ForwardTimeout)
	defer cancel()

	o, err := f.Claim(ctx, to, req)
	if err != nil || o.Record.Key != req.Key {
		return Outcome{}, false
	}

	return o, o.Mine == (o.Record.Nonce == req.Nonce)
}
