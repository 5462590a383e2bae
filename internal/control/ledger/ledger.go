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
	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/wire/verdict"
)

// Error is the class of this package's errors.
var Error = errs.Class("ledger")

// ErrUnsettled is returned if it is not known whether a claim on behalf of another host took effect.
// That host must claim again under the same nonce, or abandon the claim.
var ErrUnsettled = Error.New("unknown whether the claim for another host took effect")

// ErrNotClaimant is returned if a host abandons the claim of another host.
var ErrNotClaimant = Error.New("claim belongs to another host")

// Request is a request to claim a key.
type Request struct {
	Key         claims.Key
	Fingerprint claims.Fingerprint
	Nonce       claims.Nonce  // new for each attempt; the same when one attempt claims again
	Claimant    entity.HostID // host that will dispatch; empty means the ledger's own host
	DataCentre  entity.DataCentre
	Request     entity.RequestID
	Target      entity.TargetID

	Forwarded bool // a claim under Nonce was sent through another host, with an unknown outcome

	Patient bool // wait for the platform until the context ends, not only for Options.ClaimTimeout
	Repeat  bool // the caller may have sent the key before, so a refusal that can't rule out an earlier run is MayHaveRun
}

// Outcome is the result of a claim: who holds the key.
type Outcome struct {
	Mine   bool          // the claimant holds the key under Request.Nonce and may dispatch the request
	Record claims.Record // the claim in force
}

// Ledger claims keys for its host, and for peers that forward their claims to it. It is safe for
// concurrent use.
type Ledger struct {
	opts   Options
	clock  clockwork.Clock
	ctx    context.Context // ends the goroutines of the queues
	cancel context.CancelFunc
	done   chan struct{}
	active sync.WaitGroup // running queues

	spent         *lru.Cache[claims.Nonce, struct{}]
	layoutMatches atomic.Bool // the stored layout equals Options.Layout

	mu     sync.Mutex
	closed bool
	queues map[claims.Shard]*shardQueue
}

// New returns a Ledger. Call Close to end it.
func New(opts Options) *Ledger {
	opts = opts.withDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	spent, _ := lru.New[claims.Nonce, struct{}](spentCacheSize) // fails only for a size below one

	return &Ledger{
		opts:   opts,
		clock:  opts.Clock,
		ctx:    ctx,
		cancel: cancel,
		done:   make(chan struct{}),
		spent:  spent,
		queues: map[claims.Shard]*shardQueue{},
	}
}

// Claim claims req.Key for req.Nonce. Unless it returns an Outcome with Mine set, the claimant must
// not dispatch under the nonce, now or later.
//
// Until it dispatches, the claimant may claim again under the nonce, one call at a time, to record
// another target. After it has dispatched, it must not claim again, because a failure would withdraw
// the claim.
//
// Errors are a *verdict.Error, or ErrUnsettled for a claim on behalf of another host. If a claim for
// its own host fails, the ledger withdraws it in the background.
func (l *Ledger) Claim(ctx context.Context, req Request) (Outcome, error) {
	if req.Claimant == "" {
		req.Claimant = l.opts.Host
	}

	now := l.clock.Now()
	if err := l.opts.Layout.Check(req.Key, now); err != nil {
		return Outcome{}, err
	}

	own := req.Claimant == l.opts.Host
	if own && l.isSpent(req.Nonce) {
		return Outcome{}, refusal(req, verdict.CodeInternal, "the nonce of this attempt was already given up")
	}

	if !req.Patient {
		var cancel context.CancelFunc

		ctx, cancel = clockwork.WithTimeout(ctx, l.clock, l.opts.ClaimTimeout)
		defer cancel()
	}

	o := newOperation(claim, l.opts.Layout.Place(req.Key), claims.Record{
		Key:         req.Key,
		Fingerprint: req.Fingerprint,
		Nonce:       req.Nonce,
		Claimant:    req.Claimant,
		DataCentre:  req.DataCentre,
		Request:     req.Request,
		Target:      req.Target,
		ClaimedAt:   now.UTC().Truncate(time.Millisecond),
	})
	o.patient = req.Patient
	l.submit(o, now)

	c, ok := l.await(ctx, o)
	if !ok {
		return Outcome{}, l.claimTimedOut(req, o)
	}

	if c.Err != nil {
		if own {
			l.withdraw(o, req.Forwarded)
		}

		return Outcome{}, asRefusal(req, c.Err)
	}

	outcome := Outcome{Mine: c.Mine, Record: c.Record}
	if !own {
		return outcome, nil
	}

	return l.ownOutcome(req, outcome)
}

// ownOutcome returns the outcome of a claim for the own host, or an error if its nonce was spent meanwhile.
func (l *Ledger) ownOutcome(req Request, o Outcome) (Outcome, error) {
	if !o.Mine {
		// A delayed write may still claim the key under this nonce, but the request is never dispatched under it.
		l.spent.Add(req.Nonce, struct{}{})

		return o, nil
	}

	if l.isSpent(req.Nonce) {
		return Outcome{}, refusal(req, verdict.CodeInternal, "the attempt was abandoned")
	}

	return o, nil
}

// claimTimedOut returns the error of a claim whose caller stopped waiting, and withdraws a claim for the own host.
func (l *Ledger) claimTimedOut(req Request, o *operation) error {
	if req.Claimant != l.opts.Host {
		return ErrUnsettled
	}

	l.withdraw(o, req.Forwarded)

	return refusal(req, verdict.CodePlatformUnavailable, "the claim was not confirmed in time").WithRetryAfter(l.opts.Backoff)
}

// Finish records the result of the request claimed by r. It blocks until the result is stored or ctx
// ends, also during an outage, so a claimant should answer its caller first. Any host that has the result
// may record it. A result other than MayHaveRun that is stored already is kept. Finish fails with
// claims.ErrClaimNotHeld if r's claim is no longer held, with platform.ErrTooLarge if the platform refuses
// the page for its size, with the error of ctx, or with CodeStopping after Close.
func (l *Ledger) Finish(ctx context.Context, r claims.Record, res claims.Result) error {
	now := l.clock.Now()
	o := newOperation(finish, l.opts.Layout.Place(r.Key), r)
	o.result = res
	l.submit(o, now.Add(l.opts.FinishDelay))

	return l.awaitError(ctx, o)
}

// GiveUp gives up the claim of r, whose request no target has run or will run. From this call on, no Claim under r.Nonce
// succeeds on this host, and a repeat that claims through this host may run the request at any time. A request that
// arrives after the call therefore must not be answered with the "not run" of r. GiveUp does not block.
// It fails with ErrNotClaimant for the claim of another host, because only that host has a record of whether it
// dispatched.
func (l *Ledger) GiveUp(r claims.Record) error {
	if r.Claimant != l.opts.Host {
		return ErrNotClaimant
	}

	l.spent.Add(r.Nonce, struct{}{})

	return nil
}

// Abandon gives up the claim of r like GiveUp, and withdraws it on the platform, so that repeats through all hosts may
// run. It blocks until the withdrawal is stored or refused, or ctx ends. If ctx ends before the withdrawal is stored, it
// goes on in the background, for Options.AbandonTimeout at most. It fails with claims.ErrClaimNotHeld if a repeat has
// claimed the key already.
func (l *Ledger) Abandon(ctx context.Context, r claims.Record) error {
	if err := l.GiveUp(r); err != nil {
		return err
	}

	now := l.clock.Now()
	o := newOperation(abandon, l.opts.Layout.Place(r.Key), r)
	o.expires = now.Add(l.opts.AbandonTimeout)
	l.submit(o, now.Add(l.opts.FinishDelay))

	select {
	case c := <-o.done:
		return c.Err
	case <-ctx.Done():
		return Error.Wrap(ctx.Err())
	}
}

// Lookup reads the record of k from the platform in one call and reports whether there is one.
func (l *Ledger) Lookup(ctx context.Context, k claims.Key) (claims.Record, bool, error) {
	o, err := l.opts.Store.Get(ctx, l.opts.Layout.Place(k).Object)
	if err != nil {
		return claims.Record{}, false, Error.Wrap(err)
	}

	p, err := claims.DecodePage(o.Value)
	if err != nil {
		return claims.Record{}, false, err
	}

	return p.Lookup(k)
}

// PreferredHost returns the peer that batches the claims of k's shard, by rendezvous hashing; it
// returns "" for no peers. Hosts with different lists of peers may choose differently, which only
// causes conflicts.
func (l *Ledger) PreferredHost(k claims.Key, peers []entity.HostID) entity.HostID {
	if len(peers) == 0 {
		return ""
	}

	names := make([]string, len(peers))
	for i, p := range peers {
		names[i] = string(p)
	}

	shard := strconv.Itoa(int(l.opts.Layout.Place(k).Shard))

	return entity.HostID(rendezvous.New(names, xxhash.Sum64String).Lookup(shard))
}

// Close ends the ledger and waits for its goroutines. Claims, results and withdrawals that are not written by
// then fail.
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

// Done returns a channel that is closed when Close has ended the ledger's goroutines.
func (l *Ledger) Done() <-chan struct{} {
	return l.done
}

// isSpent reports whether n was given up on this host: no request will be dispatched under n.
func (l *Ledger) isSpent(n claims.Nonce) bool {
	return l.spent.Contains(n)
}

// await waits for o and reports whether it was resolved before ctx ended. If not, o is marked as obsolete.
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

	o.callerGone = true

	return claims.Change{}, false
}

// awaitError waits for o and returns its error, or that of ctx if ctx ends first.
func (l *Ledger) awaitError(ctx context.Context, o *operation) error {
	c, ok := l.await(ctx, o)
	if !ok {
		return Error.Wrap(ctx.Err())
	}

	return c.Err
}

// withdraw marks the nonce of a failed claim as spent, and abandons the claim if it may have reached
// the platform. maybeSent reports that it may have been sent through another host.
func (l *Ledger) withdraw(o *operation, maybeSent bool) {
	l.spent.Add(o.record.Nonce, struct{}{})

	l.mu.Lock()
	maybeSent = maybeSent || o.inFlight || o.outcomeUnknown
	l.mu.Unlock()

	if !maybeSent {
		return
	}

	now := l.clock.Now()
	a := newOperation(abandon, o.place, o.record)
	a.expires = now.Add(l.opts.AbandonTimeout)
	l.submit(a, now)
}
