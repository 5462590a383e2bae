package host

import (
	"context"
	"errors"
	"strings"

	"github.com/dotterelflow/dotterelflow/internal/control/orders"
	"github.com/dotterelflow/dotterelflow/internal/control/plans"
	"github.com/dotterelflow/dotterelflow/internal/control/table"
	"github.com/dotterelflow/dotterelflow/internal/wire/operator"
)

var kinds = map[operator.Action]plans.Kind{
	operator.Drain:    plans.Drain,
	operator.Replace:  plans.Replace,
	operator.Withdraw: plans.Withdraw,
	operator.Role:     plans.RoleChange,
}

// Plans implements operator.Backend.
func (b backend) Plans(ctx context.Context) ([]operator.Plan, error) {
	var listed []operator.Plan

	for _, dc := range b.host.centres() {
		list, err := plans.Load(ctx, b.host.opts.Platform, dc)
		if err != nil && dc == b.host.opts.DataCentre {
			list, err = b.host.governor.Plans(), nil // what is obeyed here, with the platform out
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

	plan := plans.Plan{ID: plans.ID(p.ID), Kind: kinds[p.Action], Target: p.Target, Replacement: p.With}
	if p.Role != nil {
		plan.Setting = &orders.Setting{Role: *p.Role, Model: t.Model}
	}

	now := b.host.opts.Clock.Now()

	if err := plans.Declare(ctx, b.host.opts.Platform, t.DataCentre, plan, now); err != nil {
		return p, err
	}

	p.State, p.Declared = string(plans.Declared), now

	return p, nil
}

// Cancel implements operator.Backend.
func (b backend) Cancel(ctx context.Context, id string) error {
	for _, dc := range b.host.centres() {
		err := plans.Cancel(ctx, b.host.opts.Platform, dc, plans.ID(id))
		if !errors.Is(err, plans.ErrNotFound) {
			return err
		}
	}

	return operator.ErrNotFound
}

// centres returns the data centres of the configured targets, this one first.
func (h *Host) centres() []table.DataCentre {
	centres := []table.DataCentre{h.opts.DataCentre}
	seen := map[table.DataCentre]bool{h.opts.DataCentre: true}

	for _, t := range h.targets() {
		if !seen[t.DataCentre] {
			seen[t.DataCentre] = true
			centres = append(centres, t.DataCentre)
		}
	}

	return centres
}

// planView renders a plan for operators, with what it waits for.
func (h *Host) planView(p plans.Plan) operator.Plan {
	v := operator.Plan{ID: string(p.ID), Target: p.Target, With: p.Replacement, State: string(p.Phase), Detail: p.Reason, Declared: p.Since}

	for action, kind := range kinds {
		if kind == p.Kind {
			v.Action = action
		}
	}

	if p.Setting != nil && p.Kind == plans.RoleChange {
		v.Role = &p.Setting.Role
	}

	for _, w := range h.governor.Waits() {
		if w.Target == p.Target {
			v.Detail = strings.TrimSpace(v.Detail + " waits for former holders of the authority")
		}
	}

	return v
}
