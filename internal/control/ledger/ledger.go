package ledger

import (
	"context"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/dgryski/go-rendezvous"
	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/jonboulle/clockwork"
	"github.com/zeebo/errs"

	"github.com/dotterelflow/dotterelflow/internal/control/claims"
	"github.com/dotterelflow/dotterelflow/internal/control/table"
	"github.com/dotterelflow/dotterelflow/internal/wire/verdict"
)

// Error is the class of this package's errors.
var Error = errs.Class("ledger")

// ErrUnsettled says that it is not known whether a claim for another host took effect. That host
// claims again under the same nonce, or abandons it.
var ErrUnsettled = Error.New("claim for another host is not settled")

// ErrNotClaimant says that a host tried to give up the claim of another one.
var ErrNotClaimant = Error.New("claim belongs to another host")

// Request asks for the claim of a key.
type Request struct {
	Key         claims.Key
	Fingerprint claims.Fingerprint
	Nonce       claims.Nonce // new for each attempt; equal when the claim of one attempt is asked for again
	Claimant    table.HostID // who will dispatch; empty means the ledger's own host
	DataCentre  table.DataCentre
	Request     table.RequestID
	Target      table.TargetID

	Forwarded bool // an unsettled claim under Nonce was asked for through another host

	Patient bool // waits for the platform until its context ends
	Repeat  bool // the caller may have sent the key before: a refusal that can't rule out an earlier run says MayHaveRun
}

// Outcome says who holds a key.
type Outcome struct {
	Mine   bool          // the claimant holds it under Request.Nonce and may dispatch
	Record claims.Record // the claim in force
}

// Ledger claims keys for its host, and for peers that forward their claims to it. It is safe for
// concurrent use.
type Ledger struct {
	opts   Options
	clock  clockwork.Clock
	ctx    context.Context // ends the goroutines of the lanes
	cancel context.CancelFunc
	done   chan struct{}
	active sync.WaitGroup // running lanes

	spent  *lru.Cache[claims.Nonce, struct{}]
	agreed atomic.Bool // the platform keeps an equal ring

	mu     sync.Mutex
	closed bool
	lanes  map[claims.Shard]*lane
}

// New returns a Ledger. Close ends it.
func New(opts Options) *Ledger {
	opts = opts.withDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	spent, _ := lru.New[claims.Nonce, struct{}](spentNonces) // fails only for a size below one

	return &Ledger{
		opts:   opts,
		clock:  opts.Clock,
		ctx:    ctx,
		cancel: cancel,
		done:   make(chan struct{}),
		spent:  spent,
		lanes:  map[claims.Shard]*lane{},
	}
}

// Claim claims req.Key for req.Nonce. Unless it returns an Outcome that is Mine, the claimant must
// not dispatch under the nonce, now or later.
//
// Until it dispatches, the claimant may claim again under the nonce, one call at a time, to name
// another target. Once it has dispatched it must not: a failure would withdraw the claim.
//
// Failures are a *verdict.Error, or ErrUnsettled for a claim on behalf of another host. After a
// failure of a claim of its own, the ledger withdraws the nonce in the background.
func (l *Ledger) Claim(ctx context.Context, req Request) (Outcome, error) {
	if req.Claimant == "" {
		req.Claimant = l.opts.Host
	}

	now := l.clock.Now()
	if err := l.opts.Ring.Check(req.Key, now); err != nil {
		return Outcome{}, err
	}

	own := req.Claimant == l.opts.Host
	if own && l.isSpent(req.Nonce) {
		return Outcome{}, refusal(req, verdict.CodeInternal, "the nonce of this attempt is spent")
	}

	if !req.Patient {
		var cancel context.CancelFunc

		ctx, cancel = clockwork.WithTimeout(ctx, l.clock, l.opts.Wait)
		defer cancel()
	}

	o := newOperation(claim, l.opts.Ring.Place(req.Key), claims.Record{
		Key:         req.Key,
		Fingerprint: req.Fingerprint,
		Nonce:       req.Nonce,
		Claimant:    req.Claimant,
		DataCentre:  req.DataCentre,
		Request:     req.Request,
		Target:      req.Target,
		At:          now.UTC().Truncate(time.Millisecond),
	})
	o.patient = req.Patient
	l.submit(o, now)

	c, ok := l.await(ctx, o)
	if !ok {
		return Outcome{}, l.unsettled(req, o)
	}

	if c.Err != nil {
		if own {
			l.withdraw(o, req.Forwarded)
		}

		return Outcome{}, refused(req, c.Err)
	}

	outcome := Outcome{Mine: c.Mine, Record: c.Record}
	if !own {
		return outcome, nil
	}

	return l.held(req, outcome)
}

// held passes on the outcome of the own host's claim, unless its nonce was spent meanwhile.
func (l *Ledger) held(req Request, o Outcome) (Outcome, error) {
	if !o.Mine {
		l.spent.Add(req.Nonce, struct{}{}) // a claim under way elsewhere may still come, and nobody would dispatch it

		return o, nil
	}

	if l.isSpent(req.Nonce) {
		return Outcome{}, refusal(req, verdict.CodeInternal, "the attempt was abandoned")
	}

	return o, nil
}

// unsettled refuses a claim whose caller stopped waiting.
func (l *Ledger) unsettled(req Request, o *operation) error {
	if req.Claimant != l.opts.Host {
		return ErrUnsettled
	}

	l.withdraw(o, req.Forwarded)

	return refusal(req, verdict.CodeNoPlatform, "the claim was not confirmed in time").After(l.opts.Backoff)
}

// Finish records what the request claimed by r came to. It blocks until the result is kept or ctx
// ends, also through an outage, so a claimant answers its caller first. Any host that knows how a
// claim ended may record it. It fails with claims.ErrOtherNonce where r's claim is no longer held.
func (l *Ledger) Finish(ctx context.Context, r claims.Record, res claims.Result) error {
	now := l.clock.Now()
	o := newOperation(finish, l.opts.Ring.Place(r.Key), r)
	o.result = res
	l.submit(o, now.Add(l.opts.FinishLag))

	return l.settle(ctx, o)
}

// Abandon gives up the claim of r, whose request no target ran and none will. From this call on,
// no Claim under r.Nonce succeeds here, and a repeat may run the request at any moment: the claimant
// tells its caller "not run" before, while that holds. When ctx ends first, the withdrawal goes on in the background.
// It fails with ErrNotClaimant for the claim of another host, which alone knows whether it dispatched.
func (l *Ledger) Abandon(ctx context.Context, r claims.Record) error {
	if r.Claimant != l.opts.Host {
		return ErrNotClaimant
	}

	l.spent.Add(r.Nonce, struct{}{})

	now := l.clock.Now()
	o := newOperation(abandon, l.opts.Ring.Place(r.Key), r)
	o.expires = now.Add(l.opts.AbandonFor)
	l.submit(o, now.Add(l.opts.FinishLag))

	select {
	case c := <-o.done:
		return c.Err
	case <-ctx.Done():
		return Error.Wrap(ctx.Err())
	}
}

// Lookup returns the record of k, if there is one, by one read of the platform.
func (l *Ledger) Lookup(ctx context.Context, k claims.Key) (claims.Record, bool, error) {
	o, err := l.opts.Store.Get(ctx, l.opts.Ring.Place(k).Object)
	if err != nil {
		return claims.Record{}, false, Error.Wrap(err)
	}

	p, err := claims.DecodePage(o.Value)
	if err != nil {
		return claims.Record{}, false, err
	}

	return p.Lookup(k)
}

// Preferred returns the peer that gathers the claims of k's shard, by rendezvous hashing; it
// returns "" for no peers. Hosts that know other peers may differ, which costs conflicts only.
func (l *Ledger) Preferred(k claims.Key, peers []table.HostID) table.HostID {
	if len(peers) == 0 {
		return ""
	}

	names := make([]string, len(peers))
	for i, p := range peers {
		names[i] = string(p)
	}

	shard := strconv.Itoa(int(l.opts.Ring.Place(k).Shard))

	return table.HostID(rendezvous.New(names, xxhash.Sum64String).Lookup(shard))
}

// Close ends the ledger. Claims under way fail, and what was not written is dropped.
func (l *Ledger) Close() {
	l.mu.Lock()
	first := !l.closed
	l.closed = true
	l.mu.Unlock()

	if !first {
		<-l.done

		return
	}

	l.cancel()
	l.active.Wait()
	l.failAll()
	close(l.done)
}

// Done closes when Close has ended the ledger's goroutines.
func (l *Ledger) Done() <-chan struct{} {
	return l.done
}

func (l *Ledger) isSpent(n claims.Nonce) bool {
	return l.spent.Contains(n)
}

// await waits for o and reports whether it was resolved before ctx ended. Afterwards o is left alone.
func (l *Ledger) await(ctx context.Context, o *operation) (claims.Change, bool) {
	select {
	case c := <-o.done:
		return c, true
	case <-ctx.Done():
	}

	l.mu.Lock()
	defer l.mu.Unlock()

	if o.resolved {
		return <-o.done, true
	}

	o.left = true

	return claims.Change{}, false
}

func (l *Ledger) settle(ctx context.Context, o *operation) error {
	c, ok := l.await(ctx, o)
	if !ok {
		return Error.Wrap(ctx.Err())
	}

	return c.Err
}

// withdraw spends the nonce of a claim that failed, and takes the claim back where it may be on
// the platform; sent says that it may be there through another host.
func (l *Ledger) withdraw(o *operation, sent bool) {
	l.spent.Add(o.record.Nonce, struct{}{})

	l.mu.Lock()
	sent = sent || o.inFlight || o.uncertain
	l.mu.Unlock()

	if !sent {
		return
	}

	now := l.clock.Now()
	a := newOperation(abandon, o.place, o.record)
	a.expires = now.Add(l.opts.AbandonFor)
	l.submit(a, now)
}
