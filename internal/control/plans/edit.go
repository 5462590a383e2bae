package plans

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/wire/platform"
)

// maxEditAttempts is how often one edit is tried while concurrent edits conflict with it.
const maxEditAttempts = 8

// Store is the part of the platform's object API that is used for plans.
type Store interface {
	Get(ctx context.Context, key platform.Key) (platform.Object, error)
	Put(ctx context.Context, key platform.Key, expect platform.Version, value []byte) (platform.Version, error)
}

// Declare adds p to the plans of dc in phase Declared, with now as its start. It succeeds if the same
// plan is there already, for example after a lost answer, and fails with ErrConflict if a different plan
// has the same id or another plan still controls a target or the host of p.
func Declare(ctx context.Context, s Store, dc entity.DataCentre, p Plan, now time.Time) error {
	if err := p.validate(); err != nil {
		return err
	}

	p.Phase, p.Since = Declared, now
	p.Cancel, p.PreviousSetting, p.LeavingGeneration, p.Reason = false, nil, 0, ""

	return edit(ctx, s, dc, func(l *List) (bool, error) {
		if old, ok := l.Plan(p.ID); ok {
			return false, requireSameRequest(old, p)
		}

		if i := slices.IndexFunc(l.Plans, p.conflictsWith); i >= 0 {
			return false, Error.New("plan %s: %w %s", p.ID, ErrConflict, l.Plans[i].ID)
		}

		l.Plans = append(l.Plans, p)

		return true, nil
	})
}

// Cancel cancels the plan id in dc, or fails with ErrNotFound. A plan that is Ordering or has
// ended is not affected, except for a Drain that is Done.
func Cancel(ctx context.Context, s Store, dc entity.DataCentre, id ID) error {
	return edit(ctx, s, dc, func(l *List) (bool, error) {
		i := slices.IndexFunc(l.Plans, func(p Plan) bool { return p.ID == id })
		if i < 0 {
			return false, Error.New("plan %s in %s: %w", id, dc, ErrNotFound)
		}

		changed := !l.Plans[i].Cancel
		l.Plans[i].Cancel = true

		return changed, nil
	})
}

// conflictsWith reports whether other still controls a target or the host of p.
func (p Plan) conflictsWith(other Plan) bool {
	if !other.controls() {
		return false
	}

	if p.Host != "" && p.Host == other.Host {
		return true
	}

	return slices.ContainsFunc(p.targets(), func(id entity.TargetID) bool {
		return slices.Contains(other.targets(), id)
	})
}

// requireSameRequest fails with ErrConflict unless both plans request the same change.
func requireSameRequest(old, p Plan) error {
	same := old.Kind == p.Kind && old.Target == p.Target && old.Replacement == p.Replacement && old.Host == p.Host &&
		(old.Setting == nil) == (p.Setting == nil) && (p.Setting == nil || *old.Setting == *p.Setting)
	if same {
		return nil
	}

	return Error.New("plan %s: %w of the same id", p.ID, ErrConflict)
}

func edit(ctx context.Context, s Store, dc entity.DataCentre, change func(l *List) (bool, error)) error {
	var err error

	for range maxEditAttempts {
		var (
			l       List
			version platform.Version
			changed bool
		)

		l, version, err = read(ctx, s, dc)
		if err != nil {
			return err
		}

		if changed, err = change(&l); err != nil || !changed {
			return err
		}

		l.Generation++

		_, err = write(ctx, s, dc, version, l)
		if err == nil || !errors.Is(err, platform.ErrConflict) && !errors.Is(err, platform.ErrUnknown) {
			return err
		}
	}

	return Error.Wrap(err)
}

// Load returns the plans of dc as stored in the platform.
func Load(ctx context.Context, s Store, dc entity.DataCentre) (List, error) {
	l, _, err := read(ctx, s, dc)

	return l, err
}

func read(ctx context.Context, s Store, dc entity.DataCentre) (List, platform.Version, error) {
	var l List

	o, err := s.Get(ctx, Key(dc))
	if err != nil || o.Version == 0 {
		return l, o.Version, err
	}

	if err := json.Unmarshal(o.Value, &l); err != nil {
		return List{}, 0, Error.New("plans of %s: %w", dc, err)
	}

	return l, o.Version, nil
}

func write(ctx context.Context, s Store, dc entity.DataCentre, expect platform.Version, l List) (platform.Version, error) {
	value, err := json.Marshal(l)
	if err != nil {
		return 0, Error.Wrap(err)
	}

	return s.Put(ctx, Key(dc), expect, value)
}
