package originsync

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/control/origins"
	"github.com/dotterelflow/dotterelflow/internal/entry/relay"
	"github.com/dotterelflow/dotterelflow/internal/wire/peer"
)

// Times in which hosts are asked for a record, many times the round trip between data centres. A host that passes the
// question on has to wait for the answer.
const (
	homeTimeout   = 150 * time.Millisecond
	remoteTimeout = 350 * time.Millisecond
)

// Find implements relay.Origins. It asks peers if this host has no record and replicas of several versions have served.
func (s *Syncer) Find(ctx context.Context, service entity.ServiceName, began entity.RequestID) (relay.Origin, bool) {
	now := s.opts.Clock.Now()
	s.observe(now)

	stream := origins.StreamIDOf(service, began)

	if o, ok := s.opts.Table.Find(now, stream); ok {
		s.local.Add(1)

		return relay.Origin{Version: o.Version, Source: relay.FromThisHost, Age: o.Age}, true
	}

	if v, ok := s.opts.History.Sole(now, service); ok && s.upToDate() {
		s.inferred.Add(1)

		return relay.Origin{Version: v, Source: relay.FromOnlyVersion, Age: -1}, true
	}

	first, rest := s.currentRing().asked(uint64(stream))
	request := &peer.FindOriginRequest{Stream: uint64(stream), Service: string(service)}

	heard := opinion{differ: s.opts.History.Mixed(service)}

	for i, group := range [][]holder{first, rest} {
		timeout := homeTimeout
		if i > 0 {
			timeout = remoteTimeout
		}

		if record, ok := s.ask(ctx, timeout, group, request, &heard); ok {
			s.opts.Table.Merge(s.opts.Clock.Now(), record)
			s.remote.Add(1)

			return relay.Origin{Version: record.Version, Source: relay.FromPeer, Age: origins.Lifetime - record.Left}, true
		}
	}

	// A host that may have missed a version believes those that it can ask.
	version, known := heard.version, heard.agreed()
	if own, ok := s.opts.History.Before(now, service); ok && s.upToDate() {
		version, known = own, true
	}

	// A host that was out of step while a version joined does not know which streams began before that. The others do if all of
	// those that would have the record say so.
	if !known {
		version, known = heard.unanimous(len(first) + len(rest))
	}

	if known {
		s.inferred.Add(1)

		return relay.Origin{Version: version, Source: relay.FromOnlyVersion, Age: -1}, true
	}

	s.unknown.Add(1)

	return relay.Origin{}, false
}

// opinion is what other hosts say of the version of streams that have no record.
type opinion struct {
	version entity.SoftwareVersion
	known   bool // a host knows the version
	differ  bool // a host knows several versions, or another one
	others  bool // hosts know different versions
	said    int  // hosts that know the version
}

func (o *opinion) add(reply *peer.FindOriginReply) {
	o.differ = o.differ || reply.GetMixed()

	if !reply.GetUnrecorded() {
		return
	}

	version := entity.SoftwareVersion(reply.GetVersion())
	o.others = o.others || o.known && version != o.version
	o.differ = o.differ || o.others
	o.version, o.known = version, true
	o.said++
}

// unanimous returns the version that streams without a record have, if all of the given number of hosts know the same one.
func (o *opinion) unanimous(hosts int) (entity.SoftwareVersion, bool) {
	return o.version, hosts > 0 && o.said == hosts && !o.others
}

// agreed reports whether hosts know the version and none knows another one.
func (o *opinion) agreed() bool { return o.known && !o.differ }

// ask asks all of group at the same time for a record and returns the first one. It adds the replies of those without
// one to heard.
func (s *Syncer) ask(
	ctx context.Context, timeout time.Duration, group []holder, r *peer.FindOriginRequest, heard *opinion,
) (origins.Record, bool) {
	ctx, cancel := clockwork.WithTimeout(ctx, s.opts.Clock, timeout)
	defer cancel()

	replies := make(chan *peer.FindOriginReply, len(group))

	for _, h := range group {
		go func() {
			reply, err := s.opts.Peers.FindOrigin(ctx, h.address, &peer.FindOriginRequest{Stream: r.GetStream(), Service: r.GetService(), PassOn: h.passOn})
			if err != nil && ctx.Err() == nil {
				s.opts.Log.Info().Str("peer", h.address).Err(err).Msg("could not ask a peer for the version of a stream")
			}

			replies <- reply
		}()
	}

	for range group {
		select {
		case <-ctx.Done():
			return origins.Record{}, false
		case reply := <-replies:
			if record, ok := decode(reply.GetRecord()); ok {
				return record, true
			}

			if reply != nil {
				heard.add(reply)
			}
		}
	}

	return origins.Record{}, false
}

// HandleFind answers the question of another host.
func (s *Syncer) HandleFind(ctx context.Context, r *peer.FindOriginRequest) *peer.FindOriginReply {
	now := s.opts.Clock.Now()
	s.observe(now)

	if o, ok := s.opts.Table.Find(now, origins.StreamID(r.GetStream())); ok {
		return &peer.FindOriginReply{Record: encode(o.Record)}
	}

	reply := &peer.FindOriginReply{Mixed: s.opts.History.Mixed(entity.ServiceName(r.GetService()))}
	if v, ok := s.opts.History.Before(now, entity.ServiceName(r.GetService())); ok && !s.paused() {
		reply.Unrecorded, reply.Version = true, string(v)
	}

	if !r.GetPassOn() {
		return reply
	}

	var ignored opinion

	first, _ := s.currentRing().asked(r.GetStream())
	if record, ok := s.ask(ctx, homeTimeout, first, r, &ignored); ok {
		return &peer.FindOriginReply{Record: encode(record)}
	}

	return reply
}
