package origins_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/control/origins"
)

const life = 10 * time.Second

// observer observes one service.
type observer struct {
	*origins.History

	now time.Time
}

func newObserver() *observer { return &observer{History: origins.NewHistory(), now: start} }

// observe observes versions for d.
func (o *observer) observe(d time.Duration, versions ...entity.SoftwareVersion) {
	for end := o.now.Add(d); o.now.Before(end); o.now = o.now.Add(100 * time.Millisecond) {
		o.Observe(o.now, map[entity.ServiceName][]entity.SoftwareVersion{"s": versions}, true, func(entity.ServiceName) time.Duration { return life })
	}
}

func (o *observer) sole() string {
	if v, ok := o.Sole(o.now, "s"); ok {
		return string(v)
	}

	return "unknown"
}

func (o *observer) before() string {
	if v, ok := o.Before(o.now, "s"); ok {
		return string(v)
	}

	return "unknown"
}

func TestOnlyVersionIsKnownOnceNoStreamCanBeOlder(t *testing.T) {
	o := newObserver()
	o.observe(life-time.Second, "v1")
	require.Equal(t, "unknown", o.sole(), "this host has just started")
	o.observe(2*time.Second, "v1")
	require.Equal(t, "v1", o.sole())
	require.Equal(t, "v1", o.before())

	o.observe(time.Second, "v1", "v2")
	require.Equal(t, "unknown", o.sole())
	require.Equal(t, "v1", o.before(), "streams without a record began before v2 came")

	o.observe(life, "v1", "v2")
	require.Equal(t, "unknown", o.before(), "each stream that is still there must have a record")

	o.observe(life-time.Second, "v2")
	require.Equal(t, "unknown", o.sole(), "streams of v1 may be taken up")
	o.observe(2*time.Second, "v2")
	require.Equal(t, "v2", o.sole())
}

func TestVersionBeforeARelease(t *testing.T) {
	o := newObserver()
	o.observe(time.Second, "v1")
	o.observe(time.Second, "v1", "v2")
	require.Equal(t, "unknown", o.before(), "this host does not know what ran before it started")

	o = newObserver()
	o.observe(2*life, "v1", "v2")
	o.observe(life+time.Second, "v2")
	o.observe(time.Second, "v2", "v3")
	require.Equal(t, "v2", o.before())
}

func TestShorterTimeoutDoesNotShortenTheLifeOfOlderStreams(t *testing.T) {
	o := newObserver()
	o.observe(2*life, "v1", "v2")

	versions := map[entity.ServiceName][]entity.SoftwareVersion{"s": {"v2"}}
	for range 50 {
		o.Observe(o.now, versions, true, func(entity.ServiceName) time.Duration { return time.Second })
		o.now = o.now.Add(100 * time.Millisecond)
	}

	require.Equal(t, "unknown", o.sole())
}

func TestNewVersionIsUsedOnceAllHostsKnowIt(t *testing.T) {
	o := newObserver()
	o.observe(2*life, "v1")
	o.observe(origins.LearnTime-200*time.Millisecond, "v1", "v2")
	require.Equal(t, []entity.SoftwareVersion{"v2"}, o.New(o.now, "s"))
	o.observe(400*time.Millisecond, "v1", "v2")
	require.Empty(t, o.New(o.now, "s"))
}
