package host

import (
	"context"
	"time"

	"github.com/dotterelflow/dotterelflow/internal/control/configuration"
	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/control/plans"
	"github.com/dotterelflow/dotterelflow/internal/wire/operator"
)

// staleLoadAge is the age from which a load report is not used any more.
const staleLoadAge = 5 * time.Second

// backend implements operator.Backend on a Host.
type backend struct {
	host   *Host
	editor *configuration.Editor
}

// Contents implements operator.Backend.
func (b backend) Contents() *configuration.Contents {
	return b.host.config.Contents()
}

// Apply implements operator.Backend.
func (b backend) Apply(ctx context.Context, e configuration.Edit) (entity.Generation, error) {
	return b.editor.Apply(ctx, e)
}

// Status implements operator.Backend.
func (b backend) Status(context.Context) (operator.Status, error) {
	h := b.host

	st := operator.Status{Generation: h.config.Generation(), Hosts: []operator.Host{{
		ID: h.opts.ID, DataCentre: h.opts.DataCentre, Address: h.PeerAddress(),
		Generation: h.config.Generation(), Ready: h.Ready() == nil, LastHeartbeat: h.opts.Clock.Now(),
	}}}

	for _, m := range h.network.Live() {
		st.Hosts = append(st.Hosts, operator.Host{
			ID: m.Host, DataCentre: m.DataCentre, Address: m.Address, Generation: m.Generation,
			Ready: m.Ready, LastHeartbeat: m.ReceivedAt,
		})
	}

	now, reports, leaving := h.opts.Clock.Now(), h.loads.All(), plans.LeavingTargets(h.fleetControl.Plans())

	for _, t := range h.targets() {
		st.Targets = append(st.Targets, targetStatus(now, t, reports[t.ID], leaving[t.ID]))
	}

	st.Authorities = b.authorities()

	return st, nil
}

// authorities returns one entry, for this data centre: the holder of its lease that this host last observed.
func (b backend) authorities() []operator.Authority {
	a := operator.Authority{DataCentre: b.host.opts.DataCentre}

	if lease, held := b.host.fleetControl.Holder(); held {
		a.Holder, a.Fence, a.Until = b.host.opts.ID, lease.Fence, lease.Until

		return []operator.Authority{a}
	}

	a.Holder, a.Fence = b.host.fleetControl.PeerHolder()

	return []operator.Authority{a}
}

// targetStatus returns the operator's view of t at now. The report l is zero if there is none. leaving reports whether a plan
// bars t from new work.
func targetStatus(now time.Time, t entity.Target, l entity.Load, leaving bool) operator.Target {
	st := operator.Target{
		ID: t.ID, DataCentre: t.DataCentre, Role: t.Role, Running: l.Running, Queued: l.Queued, State: "in-service",
	}

	// The report has the role in force; the configuration has only the initial one.
	if !l.At.IsZero() && t.Type == entity.Engine {
		st.Role = l.Role
	}

	switch {
	case t.Leaving || leaving:
		st.State = "leaving"
	case l.Changing:
		st.State = "changing"
	case t.Type == entity.Engine && now.Sub(l.At) > staleLoadAge:
		st.State = "silent"
	}

	return st
}

// Burn implements operator.Backend.
func (b backend) Burn(ctx context.Context) (any, error) {
	return b.host.burn.report(ctx), nil
}
