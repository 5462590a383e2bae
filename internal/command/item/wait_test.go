package item_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/command/operatorcli"
	"github.com/dotterelflow/dotterelflow/internal/wire/operator"
)

func TestCommandsWaitForWhatTheyName(t *testing.T) {
	c := newTerminal(t)
	c.load()
	c.backend.SetHosts(operator.Host{ID: "entry-1", DataCentre: "lodz", Address: "127.0.0.1:18013", Generation: 2, Ready: true})

	require.Contains(t, c.ok("status", "--wait", "20s", "--ready"), "entry-1")

	out, code, message := c.run("status", "--wait", "300ms", "--hosts", "7")
	require.Equal(t, operatorcli.ExitFailed, code)
	require.Empty(t, out)
	require.Contains(t, message, "of 7 hosts are there")

	// The stand-in carries no plan out.
	_, code, message = c.run("plan", "drain", "lodz-engine-1", "--id", "plan-0001", "--wait", "300ms")
	require.Equal(t, operatorcli.ExitFailed, code)
	require.Contains(t, message, "plan plan-0001 is declared")

	_, code, message = run(t, "status", "--address", "127.0.0.1:1", "--key-file", c.flags[3], "--wait", "300ms")
	require.Equal(t, operatorcli.ExitFailed, code)
	require.Contains(t, message, "connection refused")
}
