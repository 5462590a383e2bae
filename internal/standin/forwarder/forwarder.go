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
	dialBound  = 2 * time.Second
	bufferSize = 32 << 10
)

// Forwarder passes connections on to one address. It is safe for concurrent use.
type Forwarder struct {
	target   string
	listener net.Listener
	done     chan struct{}

	mu     sync.Mutex
	conns  map[*pair]bool
	opened int
}

// pair is a connection and the one that it is passed on to.
type pair struct {
	ends   [2]net.Conn
	silent chan struct{} // closed when nothing is passed on any more
	closed chan struct{} // closed with the Forwarder
}

// Listen returns a Forwarder from a free port of loopback to target, an ip:port.
func Listen(target string) (*Forwarder, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, Error.Wrap(err)
	}

	f := &Forwarder{target: target, listener: listener, done: make(chan struct{}), conns: map[*pair]bool{}}

	go f.accept()

	return f, nil
}

// Address returns the ip:port that f listens on.
func (f *Forwarder) Address() string {
	return f.listener.Addr().String()
}

// SetTarget sets the address that later connections are passed on to.
func (f *Forwarder) SetTarget(target string) {
	f.mu.Lock()
	defer f.mu.Unlock()

	f.target = target
}

// Silence stops the connections that f has: they stay open, but nothing passes on them any more, not
// even their end. Later connections work. It returns the number of connections silenced.
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

// Opened returns the number of connections that f has accepted so far.
func (f *Forwarder) Opened() int {
	f.mu.Lock()
	defer f.mu.Unlock()

	return f.opened
}

// Close ends f and all its connections.
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

// Done is closed once f accepts no more connections.
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

		onward, err := net.DialTimeout("tcp", target, dialBound)
		if err != nil {
			_ = conn.Close()

			continue
		}

		f.add(&pair{ends: [2]net.Conn{conn, onward}, silent: make(chan struct{}), closed: make(chan struct{})})
	}
}

func (f *Forwarder) add(p *pair) {
	f.mu.Lock()
	f.conns[p] = true
	f.opened++
	f.mu.Unlock()

	var copying sync.WaitGroup

	copying.Go(func() { p.pass(p.ends[0], p.ends[1]) })
	copying.Go(func() { p.pass(p.ends[1], p.ends[0]) })

	go func() {
		copying.Wait()

		f.mu.Lock()
		defer f.mu.Unlock()

		p.close()
		delete(f.conns, p)
	}()
}

// pass copies from one end to the other, until an end closes or p goes silent. A silent p keeps both
// ends open until the Forwarder closes.
func (p *pair) pass(from, to net.Conn) {
	buf := make([]byte, bufferSize)

	for {
		n, err := from.Read(buf)

		select {
		case <-p.silent:
			<-p.closed

			return
		default:
		}

		if n > 0 {
			_, writeErr := to.Write(buf[:n])
			if err == nil {
				err = writeErr
			}
		}

		if err != nil {
			p.end()

			return
		}
	}
}

// end closes both ends, so that either copy stops, unless p is silent.
func (p *pair) end() {
	select {
	case <-p.silent:
		<-p.closed
	default:
		_ = p.ends[0].Close()
		_ = p.ends[1].Close()
	}
}

// close ends p for good; the Forwarder holds its lock.
func (p *pair) close() {
	select {
	case <-p.closed:
		return
	default:
		close(p.closed)
	}

	_ = p.ends[0].Close()
	_ = p.ends[1].Close()
}
