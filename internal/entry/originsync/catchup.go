package originsync

import (
	"context"
	"time"

	"github.com/dotterelflow/dotterelflow/internal/control/members"
	"github.com/dotterelflow/dotterelflow/internal/wire/peer"
)

const (
	// catchUpTime is the time after the start in which a host takes the records of the peers that it comes to know. Hosts that
	// are restarted one after the other would otherwise leave no host that has them.
	catchUpTime = 10 * time.Second
	// catchUpInterval is the time between two looks for peers that were not asked yet.
	catchUpInterval = 100 * time.Millisecond
	// catchUpPeers bounds the peers that are asked in a large fleet.
	catchUpPeers = 3
)

// catchUp takes the records of peers. In a large fleet it asks a few hosts of this data centre, which hold a part of its
// records.
func (s *Syncer) catchUp(ctx context.Context) {
	asked := map[string]bool{}
	end := s.opts.Clock.Now().Add(catchUpTime)

	for s.opts.Clock.Now().Before(end) {
		for _, m := range s.toAsk(asked) {
			asked[m.Address] = true

			s.calls.Go(func() { s.fetch(ctx, m.Address) })
		}

		select {
		case <-ctx.Done():
			return
		case <-s.opts.Clock.After(catchUpInterval):
		}
	}
}

// toAsk returns the live hosts that have to be asked and are not in asked.
func (s *Syncer) toAsk(asked map[string]bool) []members.Member {
	live := s.opts.Peers.Live()
	small := len(live) < smallFleetHosts

	var list []members.Member

	for _, m := range live {
		switch {
		case asked[m.Address]:
		case small, m.DataCentre == s.opts.DataCentre && len(asked)+len(list) < catchUpPeers:
			list = append(list, m)
		}
	}

	return list
}

// fetch takes the records of the host at address.
func (s *Syncer) fetch(ctx context.Context, address string) {
	reply, err := s.opts.Peers.FetchOrigins(ctx, address)
	if err != nil {
		if ctx.Err() == nil {
			s.opts.Log.Info().Str("peer", address).Err(err).Msg("could not take the versions of streams from a peer")
		}

		return
	}

	now := s.opts.Clock.Now()

	for _, r := range reply.GetRecords() {
		if record, ok := decode(r); ok && s.opts.Table.Merge(now, record) {
			s.fetched.Add(1)
		}
	}
}

// HandleFetch returns all records of this host for one that has just started, or none if they are not needed.
func (s *Syncer) HandleFetch() *peer.OriginRecords {
	now := s.opts.Clock.Now()

	if s.Tick(now); s.opts.History.Settled(now) && s.upToDate() {
		return &peer.OriginRecords{}
	}

	m := &peer.OriginRecords{}
	for _, r := range s.opts.Table.Records(now) {
		m.Records = append(m.Records, encode(r))
	}

	return m
}
