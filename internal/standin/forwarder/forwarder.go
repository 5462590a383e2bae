package forwarder

import (
	"net"
	"sync"
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

	mu     sync.Mutex
	conns  map[*connPair]bool
	opened int
	delay  time.Duration // of all data
}

// connPair is an accepted connection and its connection to the target.
type connPair struct {
	ends   [2]net.Conn
	silent chan struct{} // closed when the pair is silenced
	oneWay chan struct{} // closed when what the target sends is dropped
	closed chan struct{} // closed when the pair has ended or the Forwarder is closed
}

// Listen returns a Forwarder that listens on a free loopback port and forwards to target, an ip:port.
func Listen(target string) (*Forwarder, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, Error.Wrap(err)
	}

	f := &Forwarder{target: target, listener: listener, done: make(chan struct{}), conns: map[*connPair]bool{}}

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
			p.close()

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

// Close stops f and closes all its connections.
func (f *Forwarder) Close() error {
	err := f.listener.Close()
	<-f.done

	f.mu.Lock()
	defer f.mu.Unlock()

	for p := range f.conns {
		p.close()
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

		f.mu.Lock()
		target := f.target
		f.mu.Unlock()

		upstream, err := net.DialTimeout("tcp", target, dialTimeout)
		if err != nil {
			_ = conn.Close()

			continue
		}

		f.add(&connPair{ends: [2]net.Conn{conn, upstream}, silent: make(chan struct{}), oneWay: make(chan struct{}), closed: make(chan struct{})})
	}
}

// add starts forwarding in both directions of p, and removes p when both have ended.
func (f *Forwarder) add(p *connPair) {
	f.mu.Lock()
	f.conns[p] = true
	f.opened++
	f.mu.Unlock()

	var copying sync.WaitGroup

	copying.Go(func() { p.copyData(p.ends[0], p.ends[1], nil, f.currentDelay) })
	copying.Go(func() { p.copyData(p.ends[1], p.ends[0], p.oneWay, f.currentDelay) })

	go func() {
		copying.Wait()

		f.mu.Lock()
		defer f.mu.Unlock()

		p.close()
		delete(f.conns, p)
	}()
}

// copyData copies data from one end to the other, delayed by the result of delay, until either end closes or p is silenced. Once
// drop is closed, it drops the data instead. If p is silenced, it returns only when the Forwarder closes, and leaves both
// ends open until then.
func (p *connPair) copyData(from, to net.Conn, drop <-chan struct{}, delay func() time.Duration) {
	buf := make([]byte, bufferSize)

	for {
		n, err := from.Read(buf)

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

		if d := delay(); n > 0 && d > 0 {
			time.Sleep(d)
		}

		if n > 0 {
			_, writeErr := to.Write(buf[:n])
			if err == nil {
				err = writeErr
			}
		}

		if err != nil {
			p.closeUnlessSilent()

			return
		}
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

// close closes both ends of p, silenced or not. The caller holds the lock of the Forwarder.
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
