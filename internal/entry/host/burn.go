package host

import (
	"context"
	"sync"
	"time"

	"github.com/dotterelflow/dotterelflow/internal/control/table"
	"github.com/dotterelflow/dotterelflow/internal/measure/burn"
	"github.com/dotterelflow/dotterelflow/internal/wire/caller"
)

const (
	burnShards     = 4
	burnFetchBound = 2 * time.Second
)

// burnCounts keeps this host's service-level counts and makes the report of all hosts.
type burnCounts struct {
	host   *Host
	ledger *burn.Ledger
	saver  *burn.Saver
}

func newBurnCounts(h *Host) *burnCounts {
	ledger := &burn.Ledger{}

	return &burnCounts{host: h, ledger: ledger, saver: burn.NewSaver(burn.SaverOptions{
		Host: h.opts.ID, DataCentre: h.opts.DataCentre, Shards: burnShards, Clock: h.opts.Clock,
	}, h.opts.Platform, ledger)}
}

// observe counts one ended call.
func (b *burnCounts) observe(o caller.Outcome) {
	var err error
	if o.Problem != nil {
		err = o.Problem
	}

	b.ledger.Record(b.host.opts.Clock.Now(), burn.Key{Account: o.Request.Account, Kind: o.Request.Kind.Name},
		burn.Of(err, late(o), false))
}

// late reports whether a whole answer missed a bound of its objective.
func late(o caller.Outcome) bool {
	objective := o.Request.Kind.Objective

	if objective.FirstToken > 0 && o.FirstToken > objective.FirstToken {
		return true
	}

	if objective.Total > 0 && o.Total > objective.Total {
		return true
	}

	if objective.BetweenTokens == 0 || o.Events < 2 || o.FirstToken == 0 {
		return false
	}

	return (o.Total-o.FirstToken)/time.Duration(o.Events-1) > objective.BetweenTokens
}

// report merges the counts in the platform with what the live hosts have not saved yet.
func (b *burnCounts) report(ctx context.Context) burn.Report {
	now := b.host.opts.Clock.Now()
	snapshot := b.host.config.Current()

	whole, missing := burn.Load(ctx, b.host.opts.Platform, burnShards, b.centres(snapshot))
	whole.Merge(b.saver.Pending())

	silent := b.mergePeers(ctx, whole)

	report := whole.Report(now, burn.ReportOptions{Objective: burn.Objectives(snapshot)})
	report.Missing = missing
	report.Silent = silent
	report.Hosts = 1 + len(b.host.network.Live()) - len(silent)

	return report
}

func (b *burnCounts) centres(snapshot *table.Snapshot) []table.DataCentre {
	seen := map[table.DataCentre]bool{b.host.opts.DataCentre: true}
	centres := []table.DataCentre{b.host.opts.DataCentre}

	add := func(dc table.DataCentre) {
		if !seen[dc] {
			seen[dc] = true
			centres = append(centres, dc)
		}
	}

	for _, m := range b.host.network.Live() {
		add(m.DataCentre)
	}

	if snapshot != nil {
		for _, t := range snapshot.Targets {
			add(t.DataCentre)
		}
	}

	return centres
}

// mergePeers adds what the live peers have not saved, and returns those that did not answer.
func (b *burnCounts) mergePeers(ctx context.Context, whole *burn.Ledger) []table.HostID {
	ctx, cancel := context.WithTimeout(ctx, burnFetchBound)
	defer cancel()

	var (
		wg     sync.WaitGroup
		mu     sync.Mutex
		silent []table.HostID
	)

	for _, m := range b.host.network.Live() {
		wg.Go(func() {
			encoded, err := b.host.network.FetchBurn(ctx, m)

			var ledger *burn.Ledger
			if err == nil {
				ledger, err = burn.Decode(encoded)
			}

			mu.Lock()
			defer mu.Unlock()

			if err != nil {
				silent = append(silent, m.Host)

				return
			}

			whole.Merge(ledger)
		})
	}

	wg.Wait()

	return silent
}

// encoded returns what this host has not saved yet, for a peer's report.
func (b *burnCounts) encoded() []byte {
	encoded, err := b.saver.Pending().Encode()
	if err != nil {
		b.host.opts.Log.Warn().Err(err).Msg("cannot encode service-level counts")

		return nil
	}

	return encoded
}
