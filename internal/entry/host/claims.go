package host

import (
	"context"
	"encoding/json"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/control/ledger"
)

// sharedClaims sends each claim of an idempotency key to the host of this data centre that is preferred for the key's shard.
// That host combines the shard's claims into few writes to the platform.
type sharedClaims struct {
	*ledger.Ledger

	host *Host
}

// Claim implements requests.Claims.
func (s sharedClaims) Claim(ctx context.Context, req ledger.Request) (ledger.Outcome, error) {
	hosts := []entity.HostID{s.host.opts.ID}

	for _, m := range s.host.network.Live() {
		if m.DataCentre == s.host.opts.DataCentre && m.Ready && !m.Stopping {
			hosts = append(hosts, m.Host)
		}
	}

	return s.ClaimAt(ctx, s.PreferredHost(req.Key, hosts), req)
}

// ClaimAt implements requests.Claims.
func (s sharedClaims) ClaimAt(ctx context.Context, to entity.HostID, req ledger.Request) (ledger.Outcome, error) {
	return s.ClaimThrough(ctx, claimForwarder{s.host}, to, req)
}

// claimForwarder implements ledger.Forwarder over the peer protocol.
type claimForwarder struct{ host *Host }

// Claim implements ledger.Forwarder.
func (f claimForwarder) Claim(ctx context.Context, to entity.HostID, req ledger.Request) (ledger.Outcome, error) {
	var out ledger.Outcome

	encoded, err := json.Marshal(req)
	if err != nil {
		return out, Error.Wrap(err)
	}

	reply, err := f.host.network.Claim(ctx, to, encoded)
	if err != nil {
		return out, err
	}

	return out, Error.Wrap(json.Unmarshal(reply, &out))
}

// claimForPeer decodes a claim that a peer forwarded, makes it on this host, and returns the encoded outcome.
func (h *Host) claimForPeer(ctx context.Context, encoded []byte) ([]byte, error) {
	var req ledger.Request
	if err := json.Unmarshal(encoded, &req); err != nil {
		return nil, Error.Wrap(err)
	}

	out, err := h.claims.Claim(ctx, req)
	if err != nil {
		return nil, err
	}

	reply, err := json.Marshal(out)

	return reply, Error.Wrap(err)
}
