package main_test

import (
	"syscall"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/wire/operator"
	"github.com/dotterelflow/dotterelflow/internal/wire/verdict"
)

// maxRefusalTime is shorter than each deadline of the test, so a refusal that waits for the deadline fails the test.
const maxRefusalTime = 9 * time.Second

// A host that reaches neither the platform nor the other data centre serves requests that may run twice, and refuses
// one that must run at most once as not run, long before its deadline.
func TestCutOffDataCentre(t *testing.T) {
	f := startFleet(t, "1ms")

	// The second host is cut off: the platform and the host in the other data centre stop answering.
	f.platform.signal(t, syscall.SIGSTOP)
	f.hosts[0].signal(t, syscall.SIGSTOP)

	for _, c := range []call{
		{kind: "report", prompt: "a visit", tokens: 50, key: newKey(), stream: true},
		{kind: "note", prompt: "a crack", tokens: 50},
	} {
		c.host = f.hosts[1]
		out := c.send(t)
		require.True(t, out.complete, "%+v", out)
		require.Equal(t, c.wantText(), out.text)
	}

	key := newKey()
	booking := call{host: f.hosts[1], kind: "hold", prompt: "court 3", key: key}
	sentAt := time.Now()
	out := booking.send(t)

	require.Equal(t, verdict.NotRun, out.problem.Verdict, "%+v", out)
	require.NotEmpty(t, out.retryAfter)
	require.Less(t, time.Since(sentAt), maxRefusalTime)

	f.platform.signal(t, syscall.SIGCONT)
	f.hosts[0].signal(t, syscall.SIGCONT)

	// Once the connections work again, the request with the same key runs exactly once.
	require.Eventually(t, func() bool { return booking.send(t).complete }, startTimeout, 200*time.Millisecond)
	require.Equal(t, 1, f.executions(t)[key])
}

// A declared plan is carried out although the host that holds the authority of the data centre, the right to give orders
// to its targets, is killed.
func TestPlanOutlivesItsHolder(t *testing.T) {
	f := startFleet(t, "1ms")
	third := f.startHost(t, "entry-3", "a", f.hosts[0].peer)
	third.waitReady(t)

	client := func(h *entryHost) *operator.Client {
		return operator.NewClient(h.operator, operatorKey, operator.ClientOptions{})
	}

	// Two hosts of the data centre can hold its authority. The test finds the holder and kills it right after the
	// plan has been declared.
	holder, other := f.hosts[0], third

	require.Eventually(t, func() bool {
		st, err := client(third).Status(t.Context())
		require.NoError(t, err)

		for _, h := range st.Hosts {
			if len(st.Authorities) > 0 && h.ID == st.Authorities[0].Holder {
				if h.Address == third.peer {
					holder, other = third, f.hosts[0]
				}

				return true
			}
		}

		return false
	}, startTimeout, 200*time.Millisecond)

	plan := operator.Plan{ID: uuid.NewString(), Action: operator.Drain, Target: "engine-1"}
	_, err := client(other).Declare(t.Context(), plan)
	require.NoError(t, err)

	holder.kill(t)
	f.setHost(t, holder.peer, "gone")

	require.Eventually(t, func() bool {
		list, err := client(other).Plans(t.Context())
		require.NoError(t, err)

		return len(list.Plans) == 1 && list.Plans[0].State == "done"
	}, 2*startTimeout, 200*time.Millisecond)

	c := call{host: other, kind: "note", prompt: "a crack", tokens: 20}
	require.Equal(t, c.wantText(), c.send(t).text)
}
