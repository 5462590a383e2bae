package ledger

import (
	"encoding/json"
	"errors"

	"github.com/dotterelflow/dotterelflow/internal/control/claims"
	"github.com/dotterelflow/dotterelflow/internal/wire/platform"
)

// layoutObject stores the claims.Layout in use. Hosts with different layouts would store one key in two places,
// and so could claim it twice.
const layoutObject platform.Key = "claims/ring"

var errLayoutMismatch = Error.New("the layout of claims in this host's settings differs from the stored one")

// ensureLayout fails unless the stored layout equals the ledger's. If none is stored, it stores the ledger's.
func (l *Ledger) ensureLayout() error {
	if l.layoutMatches.Load() {
		return nil
	}

	o, err := l.opts.Store.Get(l.ctx, layoutObject)
	if err != nil {
		return err
	}

	if o.Version == 0 {
		if o.Value, err = l.createLayout(); err != nil {
			return err
		}
	}

	var stored claims.Layout
	if err := json.Unmarshal(o.Value, &stored); err != nil {
		return Error.Wrap(err)
	}

	if stored != l.opts.Layout {
		return errLayoutMismatch
	}

	l.layoutMatches.Store(true)

	return nil
}

// createLayout stores the ledger's layout unless another host was first, and returns the stored value.
func (l *Ledger) createLayout() ([]byte, error) {
	value, err := json.Marshal(l.opts.Layout)
	if err != nil {
		return nil, Error.Wrap(err)
	}

	_, err = l.opts.Store.Put(l.ctx, layoutObject, 0, value)
	if err == nil {
		return value, nil
	}

	if errors.Is(err, platform.ErrUnavailable) {
		return nil, err
	}

	o, err := l.opts.Store.Get(l.ctx, layoutObject)
	if err == nil && o.Version == 0 {
		err = platform.ErrUnavailable // the write may still take effect
	}

	return o.Value, err
}
