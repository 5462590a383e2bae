package procfs_test

import (
	"net"
	"os"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/standin/procfs"
)

func TestSocketOwners(t *testing.T) {
	t.Parallel()

	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)

	defer func() { _ = l.Close() }()

	conn, err := net.Dial("tcp4", l.Addr().String())
	require.NoError(t, err)

	defer func() { _ = conn.Close() }()

	ports := procfs.Ports{
		Local: uint16(conn.LocalAddr().(*net.TCPAddr).Port), Remote: uint16(l.Addr().(*net.TCPAddr).Port),
	}

	owners, err := procfs.SocketOwners([]int{os.Getpid(), 1 << 30})
	require.NoError(t, err)
	require.Equal(t, os.Getpid(), owners[ports])

	owners, err = procfs.SocketOwners(nil)
	require.NoError(t, err)
	require.NotContains(t, owners, ports)
}
