package host

import (
	"context"
	"time"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/control/members"
	"github.com/dotterelflow/dotterelflow/internal/entry/peers"
	"github.com/dotterelflow/dotterelflow/internal/measure/burnrate"
	"github.com/dotterelflow/dotterelflow/internal/wire/caller"
)

// burnShards is the number of platform objects that hold the service-level counts of a data centre.
const burnShards = 4

// burnCounts keeps this host's service-level counts, saves them to the platform, and reports on the counts of all hosts.
type burnCounts struct {
	host   *Host
	ledger *burnrate.Ledger
	saver  *burnrate.Saver
}

func newBurnCounts(h *Host) *burnCounts {
	ledger := &burnrate.Ledger{}

	return &burnCounts{host: h, ledger: ledger, saver: burnrate.NewSaver(burnrate.SaverOptions{
		Host: h.opts.ID, DataCentre: h.opts.DataCentre, Shards: burnShards, Clock: h.opts.Clock,
	}, h.opts.Platform, ledger)}
}

// observe counts an ended call as good or bad for its account and kind.
func (b *burnCounts) observe(o caller.Outcome) {
	var err error
	if o.Problem != nil {
		err = o.Problem
	}

	b.ledger.Record(b.host.opts.Clock.Now(), burnrate.Key{Account: o.Request.Account, Kind: o.Request.Kind.Name},
		burnrate.EventOf(err, timingOf(o).Late(o.Request.Kind.Objective), false))
}

// timingOf returns the latencies of a call. BetweenTokens is the mean over the events after the first; zero if it is unknown.
func timingOf(o caller.Outcome) burnrate.Timing {
	t := burnrate.Timing{FirstToken: o.FirstToken, Total: o.Total}

	if o.Events > 1 && o.FirstToken > 0 {
		t.BetweenTokens = (o.Total - o.FirstToken) / time.Duration(o.Events-1)
	}

	return t
}

// report merges the counts saved in the platform with those that the live hosts have not saved yet.
func (b *burnCounts) report(ctx context.Context) burnrate.Report {
	sources := []burnrate.Source{ownCounts{b}}
	for _, m := range b.host.network.Live() {
		sources = append(sources, peerCounts{network: b.host.network, member: m})
	}

	return burnrate.Gather(ctx, b.host.opts.Clock.Now(), burnrate.GatherOptions{
		ReportOptions: burnrate.ReportOptions{Objective: burnrate.Objectives(b.host.config.Current())},
		Store:         b.host.opts.Platform, Shards: burnShards, DataCentres: b.host.dataCentres(), Sources: sources,
	})
}

// encodePending returns this host's unsaved counts, encoded for a peer's report, or nil if they cannot be encoded.
func (b *burnCounts) encodePending() []byte {
	encoded, err := b.saver.Pending().Encode()
	if err != nil {
		b.host.opts.Log.Warn().Err(err).Msg("cannot encode service-level counts")

		return nil
	}

	return encoded
}

// ownCounts implements burnrate.Source for this host's unsaved counts.
type ownCounts struct{ counts *burnCounts }

// Host implements burnrate.Source.
func (o ownCounts) Host() entity.HostID {
	return o.counts.host.opts.ID
}

// Pending implements burnrate.Source.
func (o ownCounts) Pending(context.Context) (*burnrate.Ledger, error) {
	return o.counts.saver.Pending(), nil
}

// peerCounts implements burnrate.Source for a peer's unsaved counts.
type peerCounts struct {
	network *peers.Network
	member  members.Member
}

// Host implements burnrate.Source.
func (p peerCounts) Host() entity.HostID {
	return p.member.Host
}

// Pending implements burnrate.Source.
func (p peerCounts) Pending(ctx context.Context) (*burnrate.Ledger, error) {
	encoded, err := p.network.FetchBurn(ctx, p.member)
	if err != nil {
		return nil, err
	}

	return burnrate.Decode(encoded)
}
