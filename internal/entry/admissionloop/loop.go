package admissionloop

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/dotterelflow/dotterelflow/internal/control/admission"
	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/entry/answers"
	"github.com/dotterelflow/dotterelflow/internal/wire/verdict"
)

const (
	tickInterval       = 20 * time.Millisecond
	commandQueueSize   = 1024
	stoppingRetryAfter = time.Second

	// overcommit is the sum of all hosts' shares of a token rate, relative to that rate. The load of the hosts
	// is uneven over a few seconds, and shares that add up to exactly 1 would leave capacity unused.
	overcommit = 1.5
)

// Options configure a Loop. The zero value works.
type Options struct {
	Clock     clockwork.Clock // nil means the real clock
	Admission admission.Options
}

// pool identifies the targets that share a controller: those of one model or one service.
type pool string

func poolOf(kind entity.Kind) pool {
	if kind.Service != "" {
		return pool("service/" + kind.Service)
	}

	return pool("model/" + kind.Model)
}

// Loop owns the admission controllers. Its methods are safe for concurrent use.
type Loop struct {
	opts     Options
	commands chan func(*state)
	stop     chan struct{}
	done     chan struct{}
}

// state is accessed only by the loop's goroutine.
type state struct {
	opts     Options
	pools    map[pool]*admission.Controller
	snapshot *entity.Snapshot                         // nil before the first SetConfig
	waiting  map[entity.RequestID]chan *verdict.Error // receives nil when the request may start
	capacity map[pool]admission.Capacity              // this host's share of the capacity of each pool
}

// Start returns a running Loop, which Stop ends.
func Start(opts Options) *Loop {
	if opts.Clock == nil {
		opts.Clock = clockwork.NewRealClock()
	}

	l := &Loop{opts: opts, commands: make(chan func(*state), commandQueueSize), stop: make(chan struct{}), done: make(chan struct{})}

	go l.run()

	return l
}

// Stop refuses the waiting requests, ends the loop and waits for its end. It must be called once.
func (l *Loop) Stop() {
	close(l.stop)
	<-l.done
}

// Done returns a channel that is closed once the loop has ended.
func (l *Loop) Done() <-chan struct{} {
	return l.done
}

func (l *Loop) run() {
	defer close(l.done)

	st := &state{
		opts: l.opts, pools: map[pool]*admission.Controller{},
		waiting: map[entity.RequestID]chan *verdict.Error{}, capacity: map[pool]admission.Capacity{},
	}

	tick := l.opts.Clock.NewTicker(tickInterval)
	defer tick.Stop()

	ticking := true

	for {
		// Ticks are needed only while a request waits.
		if needed := len(st.waiting) > 0; needed != ticking {
			ticking = needed

			if needed {
				tick.Reset(tickInterval)
			} else {
				tick.Stop()
			}
		}

		select {
		case command := <-l.commands:
			command(st)
		case <-tick.Chan():
		case <-l.stop:
			st.refuseWaiting()

			return
		}

		st.grantAndExpire(l.opts.Clock.Now())
	}
}

// grantAndExpire refuses the waiting requests that have expired and starts those that may start now.
func (st *state) grantAndExpire(now time.Time) {
	for _, c := range st.pools {
		for _, refusal := range c.Expired(now) {
			st.reply(refusal.Work.Request, refusal.Error())
		}

		for _, grant := range c.Next(now) {
			st.reply(grant.Work.Request, nil)
		}
	}
}

// reply passes err, nil for an admission, to the waiting request id, if it still waits.
func (st *state) reply(id entity.RequestID, err *verdict.Error) {
	if ch, ok := st.waiting[id]; ok {
		delete(st.waiting, id)
		ch <- err
	}
}

func (st *state) refuseWaiting() {
	stopping := verdict.New(verdict.NotRun, verdict.CodeStopping, "this entry host is stopping").WithRetryAfter(stoppingRetryAfter)

	for id := range st.waiting {
		st.reply(id, stopping)
	}
}

// controller returns the controller of p, which it creates if there is none.
func (st *state) controller(p pool) *admission.Controller {
	c, ok := st.pools[p]
	if !ok {
		c = admission.New(st.opts.Admission)
		c.SetCapacity(st.capacity[p])
		st.pools[p] = c
	}

	return c
}

// send passes command to the loop, and reports false if the loop has ended.
func (l *Loop) send(command func(*state)) bool {
	select {
	case l.commands <- command:
		return true
	case <-l.done:
		return false
	}
}

// Admit waits until req may start. Its error is a *verdict.Error with verdict NotRun. The function that it
// returns releases the capacity that req occupies. It must be called once, when the request has ended.
func (l *Loop) Admit(ctx context.Context, req entity.Request) (func(*answers.Answer), error) {
	ch := make(chan *verdict.Error, 1)

	if !l.send(func(st *state) { st.offer(l.opts.Clock.Now(), req, ch) }) {
		return nil, verdict.New(verdict.NotRun, verdict.CodeStopping, "this entry host is stopping").WithRetryAfter(stoppingRetryAfter)
	}

	select {
	case problem := <-ch:
		if problem != nil {
			return nil, problem
		}
	case <-ctx.Done():
		l.cancel(req)

		return nil, verdict.New(verdict.NotRun, verdict.CodeStopping, "the caller went away").WithCause(context.Cause(ctx))
	}

	return func(ans *answers.Answer) { l.release(req, ans) }, nil
}

// offer queues req at its controller. The result is sent to ch, at once if req is refused.
func (st *state) offer(now time.Time, req entity.Request, ch chan *verdict.Error) {
	c := st.controller(poolOf(req.Kind))
	c.SetAccount(req.Account, st.limits(req.Account))

	decision := c.Offer(now, admission.Work{
		Request: req.ID, Account: req.Account, Kind: req.Kind.Name, Urgency: req.Kind.Urgency,
		Prefill: req.Prefill, Decode: req.Decode, Arrived: req.Arrived, Deadline: req.Deadline,
	})
	if !decision.Accepted {
		ch <- decision.Error()

		return
	}

	st.waiting[req.ID] = ch
}

// limits returns the limits of an account, or no limits for an unknown account.
func (st *state) limits(id entity.AccountID) entity.Limits {
	if st.snapshot == nil {
		return entity.Limits{}
	}

	account, ok := st.snapshot.Account(id)
	if !ok {
		return entity.Limits{}
	}

	return account.Limits
}

// cancel withdraws req after its caller has gone.
func (l *Loop) cancel(req entity.Request) {
	l.send(func(st *state) {
		delete(st.waiting, req.ID)
		st.controller(poolOf(req.Kind)).Cancel(l.opts.Clock.Now(), req.ID)
	})
}

// release ends req at its controller and reports the tokens that it used.
func (l *Loop) release(req entity.Request, ans *answers.Answer) {
	used := admission.Usage{Prefill: req.Prefill, Decode: entity.Tokens(ans.NextSeq())}

	l.send(func(st *state) {
		st.controller(poolOf(req.Kind)).Done(l.opts.Clock.Now(), req.ID, used)
	})
}

// hostShare returns one host's share of a token rate, overcommitted.
func hostShare(rate entity.Tokens, hosts int) entity.Tokens {
	return entity.Tokens(float64(rate) * overcommit / float64(hosts))
}

// SetConfig sets the accounts' limits and this host's share of the capacity of each pool. Only targets for which
// usable returns true count, and hosts, at least 1, is the number of entry hosts that share them.
func (l *Loop) SetConfig(snapshot *entity.Snapshot, hosts int, usable func(entity.Target) bool) {
	capacity := map[pool]admission.Capacity{}

	for _, t := range snapshot.Targets {
		if t.Leaving || !usable(t) {
			continue
		}

		p := poolOf(entity.Kind{Model: t.Model, Service: t.Service})
		c := capacity[p]
		c.Slots += t.Slots
		c.PrefillPerSecond += t.PrefillRate
		c.DecodePerSecond += t.DecodeRate
		capacity[p] = c
	}

	for p, c := range capacity {
		c.Slots = max(c.Slots/hosts, 1)
		c.PrefillPerSecond = hostShare(c.PrefillPerSecond, hosts)
		c.DecodePerSecond = hostShare(c.DecodePerSecond, hosts)
		capacity[p] = c
	}

	l.send(func(st *state) {
		st.snapshot = snapshot
		st.capacity = capacity

		for p, c := range st.pools {
			c.SetCapacity(capacity[p])
		}
	})
}
