// Package operator stands in for the operator API of an entry host. It stores the configuration in a stand-in
// platform and the plans in memory.
package operator

import (
	"context"
	"slices"
	"sync"

	"github.com/jonboulle/clockwork"

	"github.com/dotterelflow/dotterelflow/internal/control/configuration"
	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/standin/platform"
	"github.com/dotterelflow/dotterelflow/internal/wire/operator"
)

// Backend implements operator.Backend. It is safe for concurrent use.
type Backend struct {
	view  *platform.View
	clock clockwork.Clock

	mu    sync.Mutex
	plans []operator.Plan
	hosts []operator.Host
}

// NewBackend returns a Backend that stores its configuration through view and reads the time from clock.
func NewBackend(view *platform.View, clock clockwork.Clock) *Backend {
	return &Backend{view: view, clock: clock}
}

// SetHosts replaces the hosts that Status lists.
func (b *Backend) SetHosts(hosts ...operator.Host) {
	b.mu.Lock()
	defer b.mu.Unlock()

	b.hosts = hosts
}

// Contents returns the configuration stored in the platform, or nil if it cannot be read.
func (b *Backend) Contents() *configuration.Contents {
	c, err := configuration.Read(context.Background(), b.view, nil)
	if err != nil {
		return nil
	}

	return c
}

// Apply applies the edit e to the configuration in the platform.
func (b *Backend) Apply(ctx context.Context, e configuration.Edit) (entity.Generation, error) {
	return configuration.NewEditor(b.view, b.clock, nil).Apply(ctx, e)
}

// Status returns the hosts that SetHosts has set, and the configured targets, all as serving.
func (b *Backend) Status(context.Context) (operator.Status, error) {
	b.mu.Lock()
	defer b.mu.Unlock()

	c := b.Contents()
	s := operator.Status{Generation: c.Generation(), Hosts: slices.Clone(b.hosts)}

	if snapshot := c.Snapshot(); snapshot != nil {
		for _, t := range snapshot.Targets {
			s.Targets = append(s.Targets, operator.Target{ID: t.ID, DataCentre: t.DataCentre, State: "serving", Role: t.Role})
		}
	}

	return s, nil
}

// Plans returns the declared plans.
func (b *Backend) Plans(context.Context) ([]operator.Plan, error) {
	b.mu.Lock()
	defer b.mu.Unlock()

	return slices.Clone(b.plans), nil
}

// Declare stores p as declared now, or returns the stored plan with the ID of p if there is one.
func (b *Backend) Declare(_ context.Context, p operator.Plan) (operator.Plan, error) {
	b.mu.Lock()
	defer b.mu.Unlock()

	if i := b.index(p.ID); i >= 0 {
		return b.plans[i], nil
	}

	p.State = "declared"
	p.Declared = b.clock.Now().UTC()
	b.plans = append(b.plans, p)

	return p, nil
}

// Cancel marks the plan id as cancelled. It fails with operator.ErrNotFound if there is no such plan.
func (b *Backend) Cancel(_ context.Context, id string) error {
	b.mu.Lock()
	defer b.mu.Unlock()

	i := b.index(id)
	if i < 0 {
		return operator.ErrNotFound
	}

	b.plans[i].State = "cancelled"

	return nil
}

// Burn returns a report without client accounts.
func (b *Backend) Burn(context.Context) (any, error) {
	return map[string]any{"accounts": []string{}}, nil
}

// index returns the index of the plan id in b.plans, or -1. The caller holds mu.
func (b *Backend) index(id string) int {
	return slices.IndexFunc(b.plans, func(p operator.Plan) bool { return p.ID == id })
}
