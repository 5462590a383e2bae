package ports_test

import (
	"net"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/standin/ports"
)

func TestReservedPortsAreFreeAndHeldByNobodyElse(t *testing.T) {
	const blocks = 200

	held := make(map[int]bool)

	for range blocks {
		first := ports.Reserve(t)

		for port := first; port < first+ports.BlockSize; port++ {
			require.False(t, held[port], "port %d was given twice", port)

			held[port] = true

			l, err := net.Listen("tcp", ports.Address(port))
			require.NoError(t, err)
			require.NoError(t, l.Close())
		}
	}
}
