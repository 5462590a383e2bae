package forwarding

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"

	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/phuslu/log"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/control/members"
	"github.com/dotterelflow/dotterelflow/internal/entry/relay"
	"github.com/dotterelflow/dotterelflow/internal/wire/buffers"
	"github.com/dotterelflow/dotterelflow/internal/wire/peer"
	"github.com/dotterelflow/dotterelflow/internal/wire/verdict"
)

const (
	// maxHosts bounds the hosts that one request is sent to, one after the other.
	maxHosts = 2
	// maxPeers bounds the hosts whose unreachable services are known, the most recent ones.
	maxPeers = 1024
	// maxAnswerBytes bounds an answer that is passed on once it is whole.
	maxAnswerBytes = 8 << 20
)

// Peers is the connection to the other entry hosts.
type Peers interface {
	// Live returns the hosts that are alive.
	Live() []members.Member
	// Serve sends r to the host m and returns a function that returns the events of the answer in order, and then io.EOF. An
	// error of Serve has the verdict NotRun unless the host may serve r. The answer ends with ctx, or once m is not alive any more.
	Serve(ctx context.Context, m members.Member, r *peer.ServeRequest) (next func() (*peer.ServeEvent, error), err error)
}

// Options configure a Client. Home and Peers are required.
type Options struct {
	Log    *log.Logger       // nil means the default logger
	Home   entity.DataCentre // data centre of this host, whose hosts are preferred
	Peers  Peers
	Budget *buffers.Budget // memory of the answers that are passed on once they are whole; nil means no bound but that of each
}

// Client implements relay.Forwarder. It is safe for concurrent use. Make it with New.
type Client struct {
	opts Options

	mu          sync.Mutex
	unreachable *lru.Cache[entity.HostID, []entity.ServiceName]
	stats       Stats
}

// Stats counts requests since the start.
type Stats struct {
	Forwarded int64 // requests that other hosts have served or refused
	Refused   int64 // requests that no host has taken
	Lost      int64 // requests whose host was lost after it may have sent them to a target
}

// New returns a Client.
func New(opts Options) *Client {
	if opts.Log == nil {
		opts.Log = &log.DefaultLogger
	}

	unreachable, err := lru.New[entity.HostID, []entity.ServiceName](maxPeers)
	if err != nil {
		panic(err) // only for a size below 1
	}

	return &Client{opts: opts, unreachable: unreachable}
}

// Stats returns the present counts.
func (c *Client) Stats() Stats {
	c.mu.Lock()
	defer c.mu.Unlock()

	return c.stats
}

// SetUnreachable records the services of which host reaches no target, as it states in a heartbeat.
func (c *Client) SetUnreachable(host entity.HostID, services []entity.ServiceName) {
	if len(services) == 0 {
		c.unreachable.Remove(host)

		return
	}

	c.unreachable.Add(host, services)
}

// IsCutOff reports whether host reaches no target of some service.
func (c *Client) IsCutOff(host entity.HostID) bool { return c.unreachable.Contains(host) }

// hosts returns the hosts that may serve a request for service, in the order in which they are tried. Those of this data
// centre come first, unless more of its hosts are cut off than are left: these would get all their load.
func (c *Client) hosts(service entity.ServiceName) []members.Member {
	var near, far []members.Member

	cutOff := 1 // this host

	for _, m := range c.opts.Peers.Live() {
		services, _ := c.unreachable.Get(m.Host)

		switch {
		case slices.Contains(services, service):
			if m.DataCentre == c.opts.Home {
				cutOff++
			}
		case !m.Ready || m.Stopping:
		case m.DataCentre == c.opts.Home:
			near = append(near, m)
		default:
			far = append(far, m)
		}
	}

	shuffle := func(list []members.Member) {
		rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	}

	if len(near) >= cutOff {
		shuffle(near)
		shuffle(far)

		return append(near, far...)
	}

	all := append(near, far...)
	shuffle(all)

	return all
}

// Forward implements relay.Forwarder.
func (c *Client) Forward(ctx context.Context, service entity.ServiceName, r *relay.Request, h relay.Handover, w relay.Reply) bool {
	hosts := c.hosts(service)

	for _, m := range hosts[:min(len(hosts), maxHosts)] {
		err := c.serveAt(ctx, m, encode(r, h), w)
		if err == nil {
			c.record(func(s *Stats) { s.Forwarded++ })

			return true
		}

		c.opts.Log.Info().Str("request", string(r.ID)).Str("service", string(service)).Str("peer", string(m.Host)).
			Str("verdict", err.Verdict.String()).Err(err).Msg("request not served by a peer")

		if err.Verdict != verdict.NotRun {
			c.record(func(s *Stats) { s.Lost++ })
			w.Refuse(err)

			return true
		}

		if ctx.Err() != nil {
			break
		}
	}

	c.record(func(s *Stats) { s.Refused++ })

	return false
}

func (c *Client) record(count func(*Stats)) {
	c.mu.Lock()
	defer c.mu.Unlock()

	count(&c.stats)
}

// serveAt lets m serve r. An error means that nothing has been written to w.
func (c *Client) serveAt(ctx context.Context, m members.Member, r *peer.ServeRequest, w relay.Reply) *verdict.Error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()

	next, err := c.opts.Peers.Serve(ctx, m, r)
	if err != nil {
		return verdict.From(err)
	}

	lost := func(err error) *verdict.Error {
		return verdict.New(verdict.MayHaveRun, verdict.CodePeerLost, "entry host %s was lost", m.Host).WithCause(err)
	}

	first, err := next()

	switch {
	case err != nil:
		return lost(err)
	case first.GetProblem() != nil:
		// Another host may serve what this one cannot serve yet, or not any more.
		problem := first.GetProblem().ToError()
		if problem.Verdict == verdict.NotRun && (problem.Code == verdict.CodeNotReady || problem.Code == verdict.CodeStopping) {
			return problem
		}

		w.Refuse(problem)

		return nil
	case first.GetStatus() == 0:
		return lost(peer.Error.New("the answer has no status"))
	case first.GetStream():
		passStream(first, next, w)

		return nil
	}

	body, err := c.readWhole(ctx, next)
	if err != nil {
		return lost(err)
	}

	defer body.Release()

	w.Respond(int(first.GetStatus()), headerOf(first.GetHeader()), body.Bytes())

	return nil
}

// passStream passes the stream that begins with first to w.
func passStream(first *peer.ServeEvent, next func() (*peer.ServeEvent, error), w relay.Reply) {
	w.Begin(int(first.GetStatus()), headerOf(first.GetHeader()))

	for {
		e, err := next()
		if err != nil || e.GetAborted() || e.GetProblem() != nil {
			w.Abort()

			return
		}

		if e.GetLast() {
			return
		}

		if err := w.WriteEvent(e.GetData()); err != nil {
			w.Abort() // the caller has left

			return
		}
	}
}

// readWhole returns the body of an answer that is passed on once it is whole. If there is no memory for it, it waits until ctx ends.
func (c *Client) readWhole(ctx context.Context, next func() (*peer.ServeEvent, error)) (*buffers.Buffer, error) {
	body := &buffers.Buffer{Budget: c.opts.Budget, Limit: maxAnswerBytes, Done: ctx.Done()}

	if _, err := body.ReadAll(&bodyReader{next: next}); err != nil {
		body.Release()

		return nil, err
	}

	return body, nil
}

// headerOf returns the header with the given fields.
func headerOf(fields []*peer.HeaderField) http.Header {
	h := make(http.Header, len(fields))
	for _, f := range fields {
		h[f.GetName()] = f.GetValues()
	}

	return h
}
