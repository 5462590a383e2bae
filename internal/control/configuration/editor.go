package configuration

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/zeebo/errs"
	"golang.org/x/sync/errgroup"

	"github.com/dotterelflow/dotterelflow/internal/control/table"
	"github.com/dotterelflow/dotterelflow/internal/wire/platform"
)

// Store is what an Editor uses of the platform.
type Store interface {
	Getter
	Put(ctx context.Context, key platform.Key, expect platform.Version, value []byte) (platform.Version, error)
	Delete(ctx context.Context, key platform.Key, expect platform.Version) error
	List(ctx context.Context, prefix string) ([]platform.Object, error)
}

// Outcomes of an edit that is neither accepted nor refused for its content.
var (
	// ErrNotAccepted says that the platform could not be reached and that this call changed nothing.
	ErrNotAccepted = errs.New("configuration: not accepted: the platform is out of reach")
	// ErrUnsettled says that the edit may have been accepted or still be. Sending the same edit
	// again, with the same id, settles it.
	ErrUnsettled = errs.New("configuration: not settled yet: the platform's answer was lost; send the same edit again")
	// ErrEditReused says that the edit's id was used before with other changes, on the same base.
	ErrEditReused = errs.New("configuration: the edit id was used before for other changes")
)

const (
	firstPause  = 50 * time.Millisecond
	longestWait = 800 * time.Millisecond
	maxTries    = 64 // of one edit; the caller's context usually ends earlier
	sweepEvery  = 32 // generations between two searches for orphans

	sweepTimeout = time.Second
)

// Editor makes edits. It is safe for concurrent use, also by many hosts at once.
type Editor struct {
	store Store
	clock clockwork.Clock
	known func() *Contents
}

// NewEditor returns an Editor. Known returns contents whose shards need not be read again, such as
// Runner.Contents; it may be nil.
func NewEditor(store Store, clock clockwork.Clock, known func() *Contents) *Editor {
	if known == nil {
		known = func() *Contents { return nil }
	}

	return &Editor{store: store, clock: clock, known: known}
}

// Apply makes the edit e and returns the generation that holds it. An edit whose id was accepted
// before is not made again.
//
// It fails with a *ConflictError for a raced edit, a *yamlfile.InvalidError for an edit that makes
// no configuration, ErrNotAccepted, ErrUnsettled or ErrEditReused. Only after ErrUnsettled may e
// come into force. The end of ctx ends the tries.
func (ed *Editor) Apply(ctx context.Context, e Edit) (table.Generation, error) {
	if err := e.check(); err != nil {
		return 0, err
	}

	a := attempt{editor: ed, edit: e}

	for pause := firstPause; a.tries < maxTries; pause = min(2*pause, longestWait) {
		a.tries++

		g, done, err := a.run(ctx)
		if done {
			return g, err
		}

		select {
		case <-ctx.Done():
			return 0, a.unfinished()
		case <-ed.clock.After(pause):
		}
	}

	return 0, a.unfinished()
}

// attempt is the state of one Apply.
type attempt struct {
	editor *Editor
	edit   Edit
	tries  int

	// pending is the version that a swing of unknown outcome expects, as long as it may still
	// take effect.
	pending *platform.Version
}

func (a *attempt) unfinished() error {
	if a.pending != nil {
		return ErrUnsettled
	}

	return ErrNotAccepted
}

// run tries once. It reports done when the edit is settled; err is then nil or the refusal.
func (a *attempt) run(ctx context.Context) (table.Generation, bool, error) {
	current, version, err := read(ctx, a.editor.store, a.editor.known())
	if err != nil {
		return 0, false, nil
	}

	if g, ok := current.head.accepted(a.edit.ID); ok {
		return g, true, nil
	}

	if a.pending != nil && version != *a.pending {
		// Another edit holds the version that the swing expects, so it can't take effect any more.
		a.pending = nil
	}

	if err := current.conflicts(a.edit); err != nil {
		return 0, true, a.refusal(err)
	}

	next, changed, err := current.with(a.edit)
	if err != nil {
		return 0, true, a.refusal(err)
	}

	if err := a.writeShards(ctx, next, changed); err != nil {
		return 0, errors.Is(err, ErrEditReused), err
	}

	return a.swing(ctx, current, next, version)
}

// refusal returns err, or ErrUnsettled while an earlier swing may still take effect.
func (a *attempt) refusal(err error) error {
	if a.pending != nil {
		return ErrUnsettled
	}

	return err
}

// writeShards writes the changed shards under fresh keys and enters them in next's head.
func (a *attempt) writeShards(ctx context.Context, next *Contents, changed []shardName) error {
	refs := make([]shardRef, len(changed))

	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(parallelCalls)

	for i, name := range changed {
		group.Go(func() error {
			value, err := next.shards[name].encode()
			if err != nil {
				return err
			}

			key := freshKey(next.head.Generation-1, a.edit.ID, name)
			version, err := a.writeShard(ctx, key, value)
			refs[i] = shardRef{Key: key, Version: version}

			return err
		})
	}

	if err := group.Wait(); err != nil {
		return err
	}

	for i, name := range changed {
		next.head.Shards[name] = refs[i]
	}

	return nil
}

// writeShard writes value at key unless an earlier try has; no other edit writes there.
func (a *attempt) writeShard(ctx context.Context, key platform.Key, value []byte) (platform.Version, error) {
	version, err := a.editor.store.Put(ctx, key, 0, value)
	if err == nil {
		return version, nil
	}

	if !errors.Is(err, platform.ErrConflict) && !errors.Is(err, platform.ErrUnknown) {
		return 0, err
	}

	o, getErr := a.editor.store.Get(ctx, key)
	if getErr != nil || o.Version == 0 {
		return 0, err
	}

	if !bytes.Equal(o.Value, value) {
		return 0, ErrEditReused
	}

	return o.Version, nil
}

// swing makes next the configuration in force if current still is.
func (a *attempt) swing(ctx context.Context, current, next *Contents, version platform.Version) (table.Generation, bool, error) {
	value, err := json.Marshal(next.head)
	if err != nil {
		return 0, true, a.refusal(err)
	}

	_, err = a.editor.store.Put(ctx, HeadKey, version, value)

	switch {
	case err == nil:
		a.editor.sweep(ctx, current, next)

		return next.head.Generation, true, nil
	case errors.Is(err, platform.ErrTooLarge):
		return 0, true, a.refusal(err)
	case !errors.Is(err, platform.ErrConflict) && !errors.Is(err, platform.ErrUnavailable):
		a.pending = &version
	}

	return 0, false, nil
}

// sweep deletes the shards that next replaced and, now and then, those of edits that failed. It
// makes one short try: what stays is found by a later sweep.
func (ed *Editor) sweep(ctx context.Context, current, next *Contents) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()

	timer := ed.clock.AfterFunc(sweepTimeout, cancel)
	defer timer.Stop()

	var group errgroup.Group

	group.SetLimit(parallelCalls)

	for _, ref := range ed.leaving(ctx, current, next) {
		group.Go(func() error {
			_ = ed.store.Delete(ctx, ref.Key, ref.Version)

			return nil
		})
	}

	_ = group.Wait()
}

// leaving returns the shards that no head from next on refers to, as far as they are known.
func (ed *Editor) leaving(ctx context.Context, current, next *Contents) []shardRef {
	var refs []shardRef

	for name, ref := range current.refs() {
		if next.head.Shards[name] != ref {
			refs = append(refs, ref)
		}
	}

	if next.head.Generation%sweepEvery != 0 {
		return refs
	}

	objects, err := ed.store.List(ctx, shardPrefix)
	if err != nil {
		return refs
	}

	for _, o := range objects {
		if next.head.orphaned(o.Key) {
			refs = append(refs, shardRef{Key: o.Key, Version: o.Version})
		}
	}

	return refs
}

func (c *Contents) refs() map[shardName]shardRef {
	if c == nil {
		return nil
	}

	return c.head.Shards
}
