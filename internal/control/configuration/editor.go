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

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/wire/platform"
)

// Store is the part of the platform's API that an Editor uses.
type Store interface {
	Getter
	Put(ctx context.Context, key platform.Key, expect platform.Version, value []byte) (platform.Version, error)
	Delete(ctx context.Context, key platform.Key, expect platform.Version) error
	List(ctx context.Context, prefix string) ([]platform.Object, error)
}

// Outcomes of an edit that is neither accepted nor refused for its content.
var (
	// ErrNotAccepted reports that the call ran out of time or attempts, usually because the platform could not
	// be reached, and that it changed nothing in force.
	ErrNotAccepted = errs.New("configuration: not accepted: the platform is out of reach")
	// ErrUnsettled reports that the outcome is unknown: the edit may have been accepted, or may still
	// be. To find out, send the same edit again with the same id.
	ErrUnsettled = errs.New("configuration: not settled yet: the platform's answer was lost; send the same edit again")
	// ErrEditIDReused reports that the edit's id was used before, on the same base, with other changes.
	ErrEditIDReused = errs.New("configuration: the edit id was used before for other changes")
)

const (
	initialBackoff = 50 * time.Millisecond
	maxBackoff     = 800 * time.Millisecond
	maxAttempts    = 64 // per call of Apply; the caller's context usually ends earlier
	sweepInterval  = 32 // generations between two searches for orphaned shards

	sweepTimeout = time.Second
)

// Editor applies edits to the configuration at the platform. It is safe for concurrent use, and many
// hosts may have one each.
type Editor struct {
	store  Store
	clock  clockwork.Clock
	cached func() *Contents
}

// NewEditor returns an Editor. The function cached returns contents whose shards need not be read again, such as
// Runner.Contents; it may be nil.
func NewEditor(store Store, clock clockwork.Clock, cached func() *Contents) *Editor {
	if cached == nil {
		cached = func() *Contents { return nil }
	}

	return &Editor{store: store, clock: clock, cached: cached}
}

// Apply applies the edit e and returns the generation in which it was accepted. An edit whose id was
// accepted before is not applied again.
//
// It fails with a *ConflictError if another edit came first or e's base is too old, a *yamlfile.InvalidError
// if e or the result is not valid, platform.ErrTooLarge if the new head is too large, ErrNotAccepted,
// ErrUnsettled or ErrEditIDReused. Of these failures, only ErrUnsettled leaves open whether e takes effect.
// Apply stops retrying when ctx ends.
func (ed *Editor) Apply(ctx context.Context, e Edit) (entity.Generation, error) {
	if err := e.check(); err != nil {
		return 0, err
	}

	a := attempt{editor: ed, edit: e}

	for pause := initialBackoff; a.tries < maxAttempts; pause = min(2*pause, maxBackoff) {
		a.tries++

		g, done, err := a.run(ctx)
		if done {
			return g, err
		}

		select {
		case <-ctx.Done():
			return 0, a.unfinishedError()
		case <-ed.clock.After(pause):
		}
	}

	return 0, a.unfinishedError()
}

// attempt is the state of one call of Apply.
type attempt struct {
	editor *Editor
	edit   Edit
	tries  int

	// pending is the head's version that a conditional write with unknown outcome expects. It is nil if
	// there is none, or if the write can no longer take effect.
	pending *platform.Version
}

// unfinishedError returns the error of a call that ran out of time or attempts.
func (a *attempt) unfinishedError() error {
	if a.pending != nil {
		return ErrUnsettled
	}

	return ErrNotAccepted
}

// run makes one try to apply the edit. It reports true if the outcome is final; err is then nil or the
// reason of the refusal.
func (a *attempt) run(ctx context.Context) (entity.Generation, bool, error) {
	current, version, err := read(ctx, a.editor.store, a.editor.cached())
	if err != nil {
		return 0, false, nil
	}

	if g, ok := current.head.accepted(a.edit.ID); ok {
		return g, true, nil
	}

	if a.pending != nil && version != *a.pending {
		// The head has moved past the version that the pending write expects, so that write can't take
		// effect any more.
		a.pending = nil
	}

	if err := current.checkConflicts(a.edit); err != nil {
		return 0, true, a.refusalError(err)
	}

	next, changed, err := current.withEdit(a.edit)
	if err != nil {
		return 0, true, a.refusalError(err)
	}

	if err := a.writeShards(ctx, next, changed); err != nil {
		return 0, errors.Is(err, ErrEditIDReused), err
	}

	return a.updateHead(ctx, current, next, version)
}

// refusalError returns err, or ErrUnsettled while an earlier write of the head may still take effect.
func (a *attempt) refusalError(err error) error {
	if a.pending != nil {
		return ErrUnsettled
	}

	return err
}

// writeShards writes the changed shards under new keys and enters the keys in next's head.
func (a *attempt) writeShards(ctx context.Context, next *Contents, changed []shardName) error {
	refs := make([]shardRef, len(changed))

	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxParallelCalls)

	for i, name := range changed {
		group.Go(func() error {
			value, err := next.shards[name].encode()
			if err != nil {
				return err
			}

			key := newShardKey(next.head.Generation-1, a.edit.ID, name)
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

// writeShard writes value at key, unless an earlier try has written it. The key contains the edit's id, so
// another value there means that the id was reused: it then fails with ErrEditIDReused.
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
		return 0, ErrEditIDReused
	}

	return o.Version, nil
}

// updateHead brings next into force by a conditional write of the head, which fails unless current, the
// contents of the given version, is still in force. Its results are those of run.
func (a *attempt) updateHead(ctx context.Context, current, next *Contents, version platform.Version) (entity.Generation, bool, error) {
	value, err := json.Marshal(next.head)
	if err != nil {
		return 0, true, a.refusalError(err)
	}

	_, err = a.editor.store.Put(ctx, HeadKey, version, value)

	switch {
	case err == nil:
		a.editor.sweep(ctx, current, next)

		return next.head.Generation, true, nil
	case errors.Is(err, platform.ErrTooLarge):
		return 0, true, a.refusalError(err)
	case !errors.Is(err, platform.ErrConflict) && !errors.Is(err, platform.ErrUnavailable):
		a.pending = &version
	}

	return 0, false, nil
}

// sweep deletes the shards that next replaced and, every sweepInterval generations, those of edits that
// failed. It tries once, for at most sweepTimeout; a later search for orphans finds the rest.
func (ed *Editor) sweep(ctx context.Context, current, next *Contents) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()

	timer := ed.clock.AfterFunc(sweepTimeout, cancel)
	defer timer.Stop()

	var group errgroup.Group

	group.SetLimit(maxParallelCalls)

	for _, ref := range ed.unreferencedShards(ctx, current, next) {
		group.Go(func() error {
			_ = ed.store.Delete(ctx, ref.Key, ref.Version)

			return nil
		})
	}

	_ = group.Wait()
}

// unreferencedShards returns shards that neither next nor any later head refers to: those that next
// replaced and, every sweepInterval generations, all orphaned ones. If the platform fails to list them, it
// returns only the replaced ones.
func (ed *Editor) unreferencedShards(ctx context.Context, current, next *Contents) []shardRef {
	var refs []shardRef

	for name, ref := range current.shardRefs() {
		if next.head.Shards[name] != ref {
			refs = append(refs, ref)
		}
	}

	if next.head.Generation%sweepInterval != 0 {
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

func (c *Contents) shardRefs() map[shardName]shardRef {
	if c == nil {
		return nil
	}

	return c.head.Shards
}
