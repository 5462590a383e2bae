package admit

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/dotterelflow/dotterelflow/internal/control/admission"
	"github.com/dotterelflow/dotterelflow/internal/control/table"
	"github.com/dotterelflow/dotterelflow/internal/entry/answers"
	"github.com/dotterelflow/dotterelflow/internal/wire/verdict"
)

const (
	tickEvery = 20 * time.Millisecond
	inbox     = 1024
	stopWait  = time.Second

	// overcommit is by how much the shares of the hosts in the rates exceed the whole. Hosts get
	// unequal work within seconds, and exact shares would leave a part unused.
	overcommit = 1.5
)

// Options tune a Loop. The zero value works.
type Options struct {
	Clock     clockwork.Clock // nil means the real clock
	Admission admission.Options
}

// pool names the targets that share a controller.
type pool string

func poolOf(kind table.Kind) pool {
	if kind.Service != "" {
		return pool("service/" + kind.Service)
	}

	return pool("model/" + kind.Model)
}

// Loop owns the admission controllers. Its methods are safe for concurrent use.
type Loop struct {
	opts    Options
	events  chan func(*state)
	stopped chan struct{}
	done    chan struct{}
}

// state belongs to the loop's goroutine.
type state struct {
	opts     Options
	pools    map[pool]*admission.Controller
	snapshot *table.Snapshot // nil before the first
	waiting  map[table.RequestID]chan *verdict.Error
	capacity map[pool]admission.Capacity
}

// Start returns a running Loop, which Stop ends.
func Start(opts Options) *Loop {
	if opts.Clock == nil {
		opts.Clock = clockwork.NewRealClock()
	}

	l := &Loop{opts: opts, events: make(chan func(*state), inbox), stopped: make(chan struct{}), done: make(chan struct{})}

	go l.run()

	return l
}

// Stop refuses what is queued and ends the loop.
func (l *Loop) Stop() {
	close(l.stopped)
	<-l.done
}

// Done is closed once the loop has ended.
func (l *Loop) Done() <-chan struct{} {
	return l.done
}

func (l *Loop) run() {
	defer close(l.done)

	st := &state{
		opts: l.opts, pools: map[pool]*admission.Controller{},
		waiting: map[table.RequestID]chan *verdict.Error{}, capacity: map[pool]admission.Capacity{},
	}

	tick := l.opts.Clock.NewTicker(tickEvery)
	defer tick.Stop()

	ticking := true

	for {
		// Time alone changes something only while a request waits.
		if waits := len(st.waiting) > 0; waits != ticking {
			ticking = waits

			if waits {
				tick.Reset(tickEvery)
			} else {
				tick.Stop()
			}
		}

		select {
		case event := <-l.events:
			event(st)
		case <-tick.Chan():
		case <-l.stopped:
			st.refuseAll()

			return
		}

		st.step(l.opts.Clock.Now())
	}
}

// step starts what may start and refuses what no longer can.
func (st *state) step(now time.Time) {
	for _, c := range st.pools {
		for _, refusal := range c.Expired(now) {
			st.answer(refusal.Work.Request, refusal.Error())
		}

		for _, grant := range c.Next(now) {
			st.answer(grant.Work.Request, nil)
		}
	}
}

func (st *state) answer(id table.RequestID, err *verdict.Error) {
	if ch, ok := st.waiting[id]; ok {
		delete(st.waiting, id)
		ch <- err
	}
}

func (st *state) refuseAll() {
	stopping := verdict.New(verdict.NotRun, verdict.CodeStopping, "this entry host is stopping").After(stopWait)

	for id := range st.waiting {
		st.answer(id, stopping)
	}
}

func (st *state) controller(p pool) *admission.Controller {
	c, ok := st.pools[p]
	if !ok {
		c = admission.New(st.opts.Admission)
		c.SetCapacity(st.capacity[p])
		st.pools[p] = c
	}

	return c
}

// send passes event to the loop, and reports false if the loop has ended.
func (l *Loop) send(event func(*state)) bool {
	select {
	case l.events <- event:
		return true
	case <-l.done:
		return false
	}
}

// Admit waits until req may start. Its error is a *verdict.Error with verdict NotRun. The function
// that it returns ends the request's use of its targets and must be called once.
func (l *Loop) Admit(ctx context.Context, req table.Request) (func(*answers.Answer), error) {
	ch := make(chan *verdict.Error, 1)

	if !l.send(func(st *state) { st.offer(l.opts.Clock.Now(), req, ch) }) {
		return nil, verdict.New(verdict.NotRun, verdict.CodeStopping, "this entry host is stopping").After(stopWait)
	}

	select {
	case problem := <-ch:
		if problem != nil {
			return nil, problem
		}
	case <-ctx.Done():
		l.cancel(req)

		return nil, verdict.New(verdict.NotRun, verdict.CodeStopping, "the caller went away").Because(context.Cause(ctx))
	}

	return func(ans *answers.Answer) { l.release(req, ans) }, nil
}

func (st *state) offer(now time.Time, req table.Request, ch chan *verdict.Error) {
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

// limits returns the limits of an account; none for an unknown one.
func (st *state) limits(id table.AccountID) table.Limits {
	if st.snapshot == nil {
		return table.Limits{}
	}

	account, ok := st.snapshot.Account(id)
	if !ok {
		return table.Limits{}
	}

	return account.Limits
}

func (l *Loop) cancel(req table.Request) {
	l.send(func(st *state) {
		delete(st.waiting, req.ID)
		st.controller(poolOf(req.Kind)).Cancel(l.opts.Clock.Now(), req.ID)
	})
}

func (l *Loop) release(req table.Request, ans *answers.Answer) {
	used := admission.Usage{Prefill: req.Prefill, Decode: table.Tokens(ans.Next())}

	l.send(func(st *state) {
		st.controller(poolOf(req.Kind)).Done(l.opts.Clock.Now(), req.ID, used)
	})
}

func share(rate table.Tokens, hosts int) table.Tokens {
	return table.Tokens(float64(rate) * overcommit / float64(hosts))
}

// SetConfig states the accounts' limits and, for each pool, this host's share of the targets:
// usable says which targets count, and hosts how many entry hosts share them.
func (l *Loop) SetConfig(snapshot *table.Snapshot, hosts int, usable func(table.Target) bool) {
	capacity := map[pool]admission.Capacity{}

	for _, t := range snapshot.Targets {
		if t.Leaving || !usable(t) {
			continue
		}

		p := poolOf(table.Kind{Model: t.Model, Service: t.Service})
		c := capacity[p]
		c.Slots += t.Slots
		c.PrefillPerSecond += t.PrefillRate
		c.DecodePerSecond += t.DecodeRate
		capacity[p] = c
	}

	for p, c := range capacity {
		c.Slots = max(c.Slots/hosts, 1)
		c.PrefillPerSecond = share(c.PrefillPerSecond, hosts)
		c.DecodePerSecond = share(c.DecodePerSecond, hosts)
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
