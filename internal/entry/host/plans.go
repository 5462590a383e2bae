package host

import (
	"context"
	"errors"
	"strings"

	"github.com/dotterelflow/dotterelflow/internal/control/configuration"
	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/control/orders"
	"github.com/dotterelflow/dotterelflow/internal/control/plans"
	"github.com/dotterelflow/dotterelflow/internal/wire/operator"
	"github.com/dotterelflow/dotterelflow/internal/wire/platform"
)

// planKinds maps the actions of operators to kinds of plans.
var planKinds = map[operator.Action]plans.Kind{
	operator.Drain:    plans.Drain,
	operator.Replace:  plans.Replace,
	operator.Withdraw: plans.Withdraw,
	operator.Role:     plans.RoleChange,
}

// Plans implements operator.Backend.
func (b backend) Plans(ctx context.Context) ([]operator.Plan, error) {
	var listed []operator.Plan

	for _, dc := range b.host.dataCentres() {
		list, err := plans.Load(ctx, b.host.opts.Platform, dc)
		if err != nil && dc == b.host.opts.DataCentre {
			list, err = b.host.fleetControl.Plans(), nil // the platform does not answer: show the list that this host follows
		}

		if err != nil {
			return nil, err
		}

		for _, p := range list.Plans {
			listed = append(listed, b.host.planView(p))
		}
	}

	return listed, nil
}

// Declare implements operator.Backend.
func (b backend) Declare(ctx context.Context, p operator.Plan) (operator.Plan, error) {
	snapshot := b.host.config.Current()
	if snapshot == nil {
		return p, Error.New("no configuration yet")
	}

	t, ok := snapshot.Target(p.Target)
	if !ok {
		return p, operator.ErrNotFound
	}

	plan := plans.Plan{ID: plans.ID(p.ID), Kind: planKinds[p.Action], Target: p.Target, Replacement: p.Replacement}
	if p.Role != nil {
		plan.Setting = &orders.Setting{Role: *p.Role, Model: t.Model}
	}

	now := b.host.opts.Clock.Now()

	if err := plans.Declare(ctx, b.host.opts.Platform, t.DataCentre, plan, now); err != nil {
		return p, planError(err)
	}

	p.State, p.Declared = string(plans.Declared), now

	return p, nil
}

// Cancel implements operator.Backend.
func (b backend) Cancel(ctx context.Context, id string) error {
	for _, dc := range b.host.dataCentres() {
		err := plans.Cancel(ctx, b.host.opts.Platform, dc, plans.ID(id))
		if !errors.Is(err, plans.ErrNotFound) {
			return planError(err)
		}
	}

	return operator.ErrNotFound
}

// planError converts an error of the platform's store to the error that operators get for it. Other errors are returned as
// they are.
func planError(err error) error {
	switch {
	case errors.Is(err, platform.ErrUnavailable):
		return configuration.ErrNotAccepted
	case errors.Is(err, platform.ErrUnknown):
		return configuration.ErrUnsettled
	default:
		return err
	}
}

// dataCentres returns this host's data centre, followed by the other data centres of the configured targets.
func (h *Host) dataCentres() []entity.DataCentre {
	centres := []entity.DataCentre{h.opts.DataCentre}
	seen := map[entity.DataCentre]bool{h.opts.DataCentre: true}

	for _, t := range h.targets() {
		if !seen[t.DataCentre] {
			seen[t.DataCentre] = true
			centres = append(centres, t.DataCentre)
		}
	}

	return centres
}

// planView returns a plan in the form for operators. Its detail states whether the target waits for former lease holders.
func (h *Host) planView(p plans.Plan) operator.Plan {
	v := operator.Plan{ID: string(p.ID), Target: p.Target, Replacement: p.Replacement, State: string(p.Phase), Detail: p.Reason, Declared: p.Since}

	for action, kind := range planKinds {
		if kind == p.Kind {
			v.Action = action
		}
	}

	if p.Setting != nil && p.Kind == plans.RoleChange {
		v.Role = &p.Setting.Role
	}

	for _, w := range h.fleetControl.OrderWaits() {
		if w.Target == p.Target {
			v.Detail = strings.TrimSpace(v.Detail + " waits for former holders of the authority")
		}
	}

	return v
}
