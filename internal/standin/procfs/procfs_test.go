package procfs_test

import (
	"os"
	"os/exec"
	"os/signal"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/standin/procfs"
)

func TestHandles(t *testing.T) {
	t.Parallel()

	handles := func(s syscall.Signal) bool {
		handled, err := procfs.Handles(os.Getpid(), s)
		require.NoError(t, err)

		return handled
	}

	require.False(t, handles(syscall.SIGKILL), "no process handles it")

	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGUSR1)
	require.True(t, handles(syscall.SIGUSR1))

	signal.Ignore(syscall.SIGUSR2)
	require.True(t, handles(syscall.SIGUSR2))
}

func TestHandlesOfAProcessThatHasEnded(t *testing.T) {
	t.Parallel()

	cmd := exec.CommandContext(t.Context(), "true")
	require.NoError(t, cmd.Start())
	require.Eventually(t, func() bool {
		_, err := procfs.Handles(cmd.Process.Pid, syscall.SIGHUP)

		return err != nil
	}, 10*time.Second, time.Millisecond)
	require.NoError(t, cmd.Wait())

	_, err := procfs.Handles(cmd.Process.Pid, syscall.SIGHUP)
	require.Error(t, err)
}
