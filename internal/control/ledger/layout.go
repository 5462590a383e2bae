package ledger

import (
	"encoding/json"
	"errors"

	"github.com/dotterelflow/dotterelflow/internal/control/claims"
	"github.com/dotterelflow/dotterelflow/internal/wire/platform"
)

// ringObject keeps the ring in use. Hosts with different rings would keep one key in two places.
const ringObject platform.Key = "claims/ring"

var errOtherRing = Error.New("this host's settings lay claims out differently from the ring in use")

// agree fails unless the platform keeps the ledger's ring; the first host to ask writes its own.
func (l *Ledger) agree() error {
	if l.agreed.Load() {
		return nil
	}

	o, err := l.opts.Store.Get(l.ctx, ringObject)
	if err != nil {
		return err
	}

	if o.Version == 0 {
		if o.Value, err = l.propose(); err != nil {
			return err
		}
	}

	var ring claims.Ring
	if err := json.Unmarshal(o.Value, &ring); err != nil {
		return Error.Wrap(err)
	}

	if ring != l.opts.Ring {
		return errOtherRing
	}

	l.agreed.Store(true)

	return nil
}

// propose writes the ledger's ring and returns what the platform keeps then.
func (l *Ledger) propose() ([]byte, error) {
	value, err := json.Marshal(l.opts.Ring)
	if err != nil {
		return nil, Error.Wrap(err)
	}

	_, err = l.opts.Store.Put(l.ctx, ringObject, 0, value)
	if err == nil {
		return value, nil
	}

	if errors.Is(err, platform.ErrUnavailable) {
		return nil, err
	}

	o, err := l.opts.Store.Get(l.ctx, ringObject)
	if err == nil && o.Version == 0 {
		err = platform.ErrUnavailable // the write may still come
	}

	return o.Value, err
}
