package forwarder

import (
	"errors"
	"maps"
	"net"
	"net/netip"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("forwarder")

const (
	dialTimeout = 2 * time.Second
	bufferSize  = 32 << 10
)

// Forwarder forwards TCP connections to one address. It is safe for concurrent use.
type Forwarder struct {
	target   string
	listener net.Listener
	done     chan struct{}

	mu      sync.Mutex
	conns   map[*connPair]bool
	opened  int
	closed  bool
	delay   time.Duration // of all data
	holds   map[*hold]bool
	changed *sync.Cond // holds of a connection, or its end
}

// Directions are directions of a connection.
type Directions uint8

const (
	// ToTarget is from the caller to the target.
	ToTarget Directions = 1 << iota
	// FromTarget is from the target to the caller.
	FromTarget
	// Both are all directions.
	Both = ToTarget | FromTarget
)

// hold is a time in which connections are held.
type hold struct {
	directions func(caller netip.AddrPort) Directions
}

// connPair is an accepted connection and its connection to the target.
type connPair struct {
	ends   [2]net.Conn
	silent chan struct{} // closed when the pair is silenced
	oneWay chan struct{} // closed when what the target sends is dropped
	closed chan struct{} // closed when the pair has ended or the Forwarder is closed
	holds  map[*hold]Directions
}

// heldIn reports whether p is held in one of the directions d. The caller holds the lock of the Forwarder.
func (p *connPair) heldIn(d Directions) bool {
	for _, held := range p.holds {
		if held&d != 0 {
			return true
		}
	}

	return false
}

// caller returns the address of the caller.
func (p *connPair) caller() netip.AddrPort {
	address, _ := netip.ParseAddrPort(p.ends[0].RemoteAddr().String())

	return address
}

// Listen returns a Forwarder that listens on a free loopback port and forwards to target, an ip:port.
func Listen(target string) (*Forwarder, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, Error.Wrap(err)
	}

	f := &Forwarder{target: target, listener: listener, done: make(chan struct{}), conns: map[*connPair]bool{}, holds: map[*hold]bool{}}
	f.changed = sync.NewCond(&f.mu)

	go f.accept()

	return f, nil
}

// Address returns the ip:port that f listens on.
func (f *Forwarder) Address() string {
	return f.listener.Addr().String()
}

// SetTarget sets the address, an ip:port, that later connections are forwarded to.
func (f *Forwarder) SetTarget(target string) {
	f.mu.Lock()
	defer f.mu.Unlock()

	f.target = target
}

// Silence silences all open connections: they stay open until Close, but f forwards neither data nor a close on
// them any more. Later connections work. It returns the number of connections that it silenced.
func (f *Forwarder) Silence() int {
	f.mu.Lock()
	defer f.mu.Unlock()

	n := 0

	for p := range f.conns {
		select {
		case <-p.silent:
		default:
			close(p.silent)

			n++
		}
	}

	return n
}

// DropAnswers makes f drop what the target sends on the open connections. What the callers send still arrives.
func (f *Forwarder) DropAnswers() {
	f.mu.Lock()
	defer f.mu.Unlock()

	for p := range f.conns {
		select {
		case <-p.oneWay:
		default:
			close(p.oneWay)
		}
	}
}

// Hold withholds what connections transfer, open ones and later ones, in the directions that it is told for the address of the
// caller. What a caller or target sends, its close included, is transferred once release is called, as when a network passes
// packets again. What is withheld is dropped if its sender resets the connection meanwhile. Several holds may overlap. Hold calls
// directions once for each connection, from several goroutines.
func (f *Forwarder) Hold(directions func(caller netip.AddrPort) Directions) (release func()) {
	h := &hold{directions}

	f.mu.Lock()
	f.holds[h] = true
	open := slices.Collect(maps.Keys(f.conns))
	f.mu.Unlock()

	var applying sync.WaitGroup

	for _, p := range open {
		applying.Go(func() { f.applyHold(h, p) })
	}

	applying.Wait()

	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()

		delete(f.holds, h)

		for p := range f.conns {
			delete(p.holds, h)
		}

		f.changed.Broadcast()
	}
}

func (f *Forwarder) applyHold(h *hold, p *connPair) {
	d := h.directions(p.caller())

	f.mu.Lock()
	defer f.mu.Unlock()

	if f.holds[h] {
		p.holds[h] = d
	}
}

// awaitRelease waits until p is not held in the direction d, or has ended. It reports whether p was held.
func (f *Forwarder) awaitRelease(p *connPair, d Directions) (held bool) {
	f.mu.Lock()
	defer f.mu.Unlock()

	for p.heldIn(d) {
		select {
		case <-p.closed:
			return held
		default:
		}

		held = true

		f.changed.Wait()
	}

	return held
}

// SetDelay delays all data by d from now on, in each direction.
func (f *Forwarder) SetDelay(d time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()

	f.delay = d
}

func (f *Forwarder) currentDelay() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.delay
}

// Cut closes all open connections that are not silent. It returns the number of connections that it closed.
func (f *Forwarder) Cut() int {
	f.mu.Lock()
	defer f.mu.Unlock()

	n := 0

	for p := range f.conns {
		select {
		case <-p.silent:
		default:
			f.end(p)

			n++
		}
	}

	return n
}

// Opened returns the number of connections that f has forwarded so far, without those whose target could not be
// reached.
func (f *Forwarder) Opened() int {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.opened
}

// Upstream returns the addresses, as ip:port, from which f has connections to the target now.
func (f *Forwarder) Upstream() []string {
	f.mu.Lock()
	defer f.mu.Unlock()

	var addresses []string
	for p := range f.conns {
		addresses = append(addresses, p.ends[1].LocalAddr().String())
	}

	return addresses
}

// Close stops f and closes all its connections.
func (f *Forwarder) Close() error {
	err := f.listener.Close()
	<-f.done

	f.mu.Lock()
	defer f.mu.Unlock()

	f.closed = true

	for p := range f.conns {
		f.end(p)
	}

	return Error.Wrap(err)
}

// Done returns a channel that is closed once f accepts no more connections.
func (f *Forwarder) Done() <-chan struct{} {
	return f.done
}

func (f *Forwarder) accept() {
	defer close(f.done)

	for {
		conn, err := f.listener.Accept()
		if err != nil {
			return
		}

		go f.forward(conn)
	}
}

// forward forwards conn until it ends.
func (f *Forwarder) forward(conn net.Conn) {
	f.mu.Lock()
	target := f.target
	f.mu.Unlock()

	upstream, err := net.DialTimeout("tcp", target, dialTimeout)
	if err != nil {
		_ = conn.Close()

		return
	}

	f.add(&connPair{
		ends: [2]net.Conn{conn, upstream}, silent: make(chan struct{}), oneWay: make(chan struct{}), closed: make(chan struct{}),
		holds: map[*hold]Directions{},
	})
}

// add starts forwarding in both directions of p, and removes p when both have ended.
func (f *Forwarder) add(p *connPair) {
	f.mu.Lock()
	f.conns[p] = true
	f.opened++

	if f.closed {
		f.end(p)
	}

	holds := slices.Collect(maps.Keys(f.holds))
	f.mu.Unlock()

	for _, h := range holds {
		f.applyHold(h, p)
	}

	var copying sync.WaitGroup

	copying.Go(func() { f.copyData(p, ToTarget) })
	copying.Go(func() { f.copyData(p, FromTarget) })

	go func() {
		copying.Wait()

		f.mu.Lock()
		defer f.mu.Unlock()

		f.end(p)
		delete(f.conns, p)
	}()
}

// copyData copies data of p in the direction d, delayed by the current delay, until either end closes or p is silenced. Once
// oneWay is closed, it drops what the target sends. If p is silenced, it returns only when the Forwarder closes, and leaves both
// ends open until then.
func (f *Forwarder) copyData(p *connPair, d Directions) {
	from, to := p.ends[0], p.ends[1]

	var drop <-chan struct{}

	if d == FromTarget {
		from, to, drop = to, from, p.oneWay
	}

	buf := make([]byte, bufferSize)

	for {
		n, err := from.Read(buf)

		if f.awaitRelease(p, d) && isReset(from) {
			n, err = 0, syscall.ECONNRESET
		}

		select {
		case <-p.silent:
			<-p.closed

			return
		default:
		}

		select {
		case <-drop:
			n = 0
		default:
		}

		if delay := f.currentDelay(); n > 0 && delay > 0 {
			time.Sleep(delay)
		}

		if n > 0 {
			_, writeErr := to.Write(buf[:n])
			if err == nil {
				err = writeErr
			}
		}

		if err != nil {
			if errors.Is(err, syscall.ECONNRESET) {
				resetOnClose(to)
			}

			p.closeUnlessSilent()

			return
		}
	}
}

// isReset reports whether the other end has reset conn.
func isReset(conn net.Conn) bool {
	raw, err := conn.(syscall.Conn).SyscallConn()
	if err != nil {
		return false
	}

	pending := 0

	if err := raw.Control(func(fd uintptr) {
		pending, _ = syscall.GetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_ERROR)
	}); err != nil {
		return false
	}

	return pending == int(syscall.ECONNRESET)
}

// resetOnClose makes the close of conn reset it.
func resetOnClose(conn net.Conn) {
	if c, ok := conn.(*net.TCPConn); ok {
		_ = c.SetLinger(0) // an error means that it has ended
	}
}

// closeUnlessSilent closes both ends, which stops both copies. If p is silenced, it waits until the Forwarder
// closes instead.
func (p *connPair) closeUnlessSilent() {
	select {
	case <-p.silent:
		<-p.closed
	default:
		_ = p.ends[0].Close()
		_ = p.ends[1].Close()
	}
}

// end closes both ends of p, silenced, held or not. The caller holds mu.
func (f *Forwarder) end(p *connPair) {
	p.close()
	f.changed.Broadcast()
}

// close closes both ends of p. The caller holds the lock of the Forwarder.
func (p *connPair) close() {
	select {
	case <-p.closed:
		return
	default:
		close(p.closed)
	}

	_ = p.ends[0].Close()
	_ = p.ends[1].Close()
}
