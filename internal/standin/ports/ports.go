// Package ports reserves ports of the loopback address for programs that tests start.
package ports

import (
	"fmt"
	"math/rand/v2"
	"net"
	"testing"
)

const (
	// BlockSize is the number of successive ports that Reserve returns.
	BlockSize = 3

	// The ports lie below those that the system gives to listeners and connections that ask for any port.
	lowestPort = 10_000
	portCount  = 18_000

	guardedSize = BlockSize + 1
)

// Reserve returns the first of BlockSize successive ports that nothing is bound to. The port after them is bound until
// the test ends, so that no other call gets them, in this process or another one, not even while the program that uses
// them is being restarted. It ends the test if there are none.
func Reserve(t testing.TB) int {
	t.Helper()

	blocks := portCount / guardedSize
	first := rand.IntN(blocks)

	for i := range blocks {
		port := lowestPort + (first+i)%blocks*guardedSize

		guard, err := net.Listen("tcp", Address(port+BlockSize))
		if err != nil {
			continue // in use
		}

		if free(port, BlockSize) {
			t.Cleanup(func() { _ = guard.Close() }) // it has no connections

			return port
		}

		_ = guard.Close() // it has no connections
	}

	t.Fatal("there are no free ports")

	return 0
}

// Address returns the loopback address with the given port.
func Address(port int) string {
	return fmt.Sprintf("127.0.0.1:%d", port)
}

// free reports whether n successive ports, from first on, can be bound.
func free(first, n int) bool {
	for port := first; port < first+n; port++ {
		l, err := net.Listen("tcp", Address(port))
		if err != nil {
			return false
		}

		_ = l.Close() // it has no connections
	}

	return true
}
