package burnrate

import (
	"context"
	"slices"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
)

const (
	// maxConcurrentSources bounds the hosts that are queried at the same time.
	maxConcurrentSources = 16
	// sourceTimeout bounds the query of one host.
	sourceTimeout = 2 * time.Second
)

// Source is a live host, queried for the counts that it has not yet saved to the platform.
type Source interface {
	Host() entity.HostID
	// Pending returns the result of the host's Saver.Pending.
	Pending(ctx context.Context) (*Ledger, error)
}

// GatherOptions configure Gather.
type GatherOptions struct {
	ReportOptions
	Store       Store
	Shards      int // number of objects per data centre, as in SaverOptions
	DataCentres []entity.DataCentre
	Sources     []Source // all live hosts, including the one that makes the report
}

// Gather makes a report, as of now, from the saved counts of o.DataCentres and the unsaved counts of
// o.Sources. Data centres whose counts cannot be read are listed in Report.Missing, and hosts that do
// not answer in Report.Silent; neither is an error.
func Gather(ctx context.Context, now time.Time, o GatherOptions) Report {
	var (
		mu     sync.Mutex
		silent []entity.HostID
		group  errgroup.Group
	)

	all := &Ledger{}

	group.SetLimit(maxConcurrentSources)

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

	saved, missing := LoadSaved(ctx, o.Store, o.Shards, o.DataCentres)
	all.Merge(saved)

	slices.Sort(silent)

	r := all.Report(now, o.ReportOptions)
	r.Hosts = len(o.Sources) - len(silent)
	r.Silent, r.Missing = silent, missing

	return r
}
