package usagereport

import (
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/dotterelflow/dotterelflow/internal/control/duties"
	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/control/usage"
	"github.com/dotterelflow/dotterelflow/internal/entry/digests"
)

// CounterOptions configure a Counter. All fields are required, except those whose comment says what nil means.
type CounterOptions struct {
	Clock       clockwork.Clock // the time of day; nil means the real clock
	SteadyClock clockwork.Clock // does not step and advances while the machine is suspended; nil means Clock
	Host        entity.HostID
	DataCentre  entity.DataCentre
	Window      time.Duration // length of a window
	Due         time.Duration // time from the end of a window until its report is due
	Collects    func() bool   // whether this host collects the counts of all hosts; nil means never
}

// Counter counts the requests that began to run at this host and has the counts of the others. It is safe for concurrent use.
type Counter struct {
	clock *usage.Clock
	table *usage.Table
	opts  CounterOptions
}

var _ digests.Usage = (*Counter)(nil)

// NewCounter returns a Counter.
func NewCounter(opts CounterOptions) *Counter {
	if opts.Clock == nil {
		opts.Clock = clockwork.NewRealClock()
	}

	if opts.SteadyClock == nil {
		opts.SteadyClock = opts.Clock
	}

	return &Counter{opts: opts, clock: usage.NewClock(opts.Clock, opts.SteadyClock), table: usage.NewTable(usage.TableOptions{
		Host: opts.Host, DataCentre: opts.DataCentre, Window: opts.Window, Keep: opts.Due + opts.Window, Collects: opts.Collects,
	})}
}

// Began counts a request of account that has begun to run.
func (c *Counter) Began(account entity.AccountID) { c.table.Count(c.clock.Now(), account) }

// Counted returns the number of requests that this host has counted since its start.
func (c *Counter) Counted() uint64 { return c.table.Counted() }

// Message implements digests.Usage.
func (c *Counter) Message(to entity.HostID) usage.Message { return c.table.Message(c.clock.Now(), to) }

// Merge implements digests.Usage.
func (c *Counter) Merge(from usage.Peer, m usage.Message) { c.table.Merge(c.clock.Now(), from, m) }

// Overdue returns the peers that are to be told at once, as they have not confirmed counts of windows that have ended.
func (c *Counter) Overdue() []entity.HostID { return c.table.Overdue(c.clock.Now()) }

// total returns the number of requests of all hosts in w.
func (c *Counter) total(w duties.Window) uint64 {
	sum, _ := c.table.Sum(w)

	return sum.Total()
}
