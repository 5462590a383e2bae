package forwarder_test

import (
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/standin/forwarder"
)

const (
	waitLimit = 5 * time.Second
	quiet     = 100 * time.Millisecond // in which nothing may arrive
)

// pair is a connection through a Forwarder.
type pair struct {
	forwarder      *forwarder.Forwarder
	caller, target *net.TCPConn
}

func newPair(t *testing.T) pair {
	t.Helper()

	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })

	f, err := forwarder.Listen(l.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = f.Close() })

	caller, err := net.Dial("tcp", f.Address())
	require.NoError(t, err)
	t.Cleanup(func() { _ = caller.Close() })

	target, err := l.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _ = target.Close() })

	require.Eventually(t, func() bool { return f.Opened() == 1 }, waitLimit, time.Millisecond)

	return pair{f, caller.(*net.TCPConn), target.(*net.TCPConn)}
}

func (p pair) hold(d forwarder.Directions) (release func()) {
	return p.forwarder.Hold(func(netip.AddrPort) forwarder.Directions { return d })
}

func send(t *testing.T, conn net.Conn, text string) {
	t.Helper()

	_, err := io.WriteString(conn, text)
	require.NoError(t, err)
}

func requireArrives(t *testing.T, conn net.Conn, text string) {
	t.Helper()

	require.NoError(t, conn.SetReadDeadline(time.Now().Add(waitLimit)))

	got := make([]byte, len(text))
	_, err := io.ReadFull(conn, got)
	require.NoError(t, err)
	require.Equal(t, text, string(got))
}

func requireNothingArrives(t *testing.T, conn net.Conn) {
	t.Helper()

	require.NoError(t, conn.SetReadDeadline(time.Now().Add(quiet)))

	n, err := conn.Read(make([]byte, 1))
	require.Zero(t, n)
	require.ErrorContains(t, err, "timeout")
}

func TestHoldWithholdsOneDirection(t *testing.T) {
	t.Parallel()

	p := newPair(t)
	release := p.hold(forwarder.ToTarget)

	send(t, p.caller, "question")
	send(t, p.target, "answer")
	requireArrives(t, p.caller, "answer")
	requireNothingArrives(t, p.target)

	release()
	requireArrives(t, p.target, "question")
}

func TestOverlappingHoldsEndWithTheLast(t *testing.T) {
	t.Parallel()

	p := newPair(t)
	first, second := p.hold(forwarder.Both), p.hold(forwarder.FromTarget)

	send(t, p.target, "answer")
	first()
	requireNothingArrives(t, p.caller)
	second()
	requireArrives(t, p.caller, "answer")
}

func TestHoldIsToldTheCaller(t *testing.T) {
	t.Parallel()

	p := newPair(t)

	var got netip.AddrPort

	p.forwarder.Hold(func(caller netip.AddrPort) forwarder.Directions {
		got = caller

		return 0
	})
	require.Equal(t, p.caller.LocalAddr().String(), got.String())
}

func TestCloseOfAHeldConnectionArrivesAfterItsData(t *testing.T) {
	t.Parallel()

	p := newPair(t)
	release := p.hold(forwarder.Both)

	send(t, p.caller, "question")
	require.NoError(t, p.caller.Close())
	requireNothingArrives(t, p.target)

	release()
	requireArrives(t, p.target, "question")

	_, err := p.target.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.EOF)
}

func TestResetTakesBackWhatIsHeld(t *testing.T) {
	t.Parallel()

	p := newPair(t)
	release := p.hold(forwarder.Both)

	send(t, p.caller, "question")
	time.Sleep(quiet)
	require.NoError(t, p.caller.SetLinger(0))
	require.NoError(t, p.caller.Close())
	time.Sleep(quiet)

	release()
	require.NoError(t, p.target.SetReadDeadline(time.Now().Add(waitLimit)))

	n, err := p.target.Read(make([]byte, 1))
	require.Zero(t, n)
	require.ErrorContains(t, err, "reset")
}

func TestCloseEndsAHeldConnection(t *testing.T) {
	t.Parallel()

	p := newPair(t)
	p.hold(forwarder.Both)
	send(t, p.caller, "question")
	time.Sleep(quiet)
	require.NoError(t, p.forwarder.Close())
	require.NoError(t, p.caller.SetReadDeadline(time.Now().Add(waitLimit)))

	_, err := p.caller.Read(make([]byte, 1))
	require.Error(t, err)
	require.NotContains(t, err.Error(), "timeout")
}
