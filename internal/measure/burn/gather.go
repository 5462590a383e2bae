package burn

import (
	"context"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/dotterelflow/dotterelflow/internal/control/table"
)

const (
	// gatherAtOnce is how many hosts are asked at a time.
	gatherAtOnce = 16
	// sourceTimeout bounds the answer of one host.
	sourceTimeout = 2 * time.Second
)

// Source is a live host that holds counts which the platform does not.
type Source interface {
	Host() table.HostID
	// Pending returns the host's Saver.Pending.
	Pending(ctx context.Context) (*Ledger, error)
}

// GatherOptions say what a report of the whole system is made of.
type GatherOptions struct {
	ReportOptions
	Store   Store
	Shards  int // as in SaverOptions
	Centres []table.DataCentre
	Sources []Source // all live hosts, the asking one included
}

// Gather makes the report of all data centres. What can't be read is named in it, in Missing and
// Silent, and is no error.
func Gather(ctx context.Context, now time.Time, o GatherOptions) Report {
	var (
		mu     sync.Mutex
		silent []table.HostID
		group  errgroup.Group
	)

	all := &Ledger{}

	group.SetLimit(gatherAtOnce)

	for _, s := range o.Sources {
		group.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, sourceTimeout)
			defer cancel()

			l, err := s.Pending(ctx)
			if err == nil {
				all.Merge(l)

				return nil
			}

			mu.Lock()
			defer mu.Unlock()

			silent = append(silent, s.Host())

			return nil
		})
	}

	_ = group.Wait()

	saved, missing := Load(ctx, o.Store, o.Shards, o.Centres)
	all.Merge(saved)

	slices.Sort(silent)

	r := all.Report(now, o.ReportOptions)
	r.Hosts = len(o.Sources) - len(silent)
	r.Silent, r.Missing = silent, missing

	return r
}
