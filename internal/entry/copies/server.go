package copies

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
	"github.com/jonboulle/clockwork"
	"github.com/phuslu/log"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/wire/peer"
)

const (
	// maxReceivers is the number of hosts that one host sends large copies to at the same time. Those that are turned away
	// fetch from the first ones once these are done, so that the number of senders grows with each round.
	maxReceivers = 2
	// receiverTimeout is how long a receiver may take between two parts before another one gets its place.
	receiverTimeout = 500 * time.Millisecond
	// maxRecent bounds the copies that can be continued although the state has changed since, so that a series of changes
	// does not keep a host from completing any of them.
	maxRecent = 8
	// maxEncoded bounds the copies that are kept for further receivers. Those of the targets differ by what a receiver knows.
	maxEncoded = 4
	// maxHolders bounds the hosts that are remembered as holding one copy, and maxOthers those that a receiver is told.
	maxHolders = 32
	maxOthers  = 3
)

// Source returns the state that a host has if it is newer than known, and the number of that state. Zero means that there is
// nothing newer; encode is then not called. targets states which state is meant: the list of targets or the configuration.
type Source func(targets bool, known uint64) (number uint64, encode func() ([]byte, error))

// ServerOptions configure NewServer. Source is required.
type ServerOptions struct {
	Clock  clockwork.Clock // nil means the real clock
	Log    *log.Logger     // nil means the default logger
	Source Source
}

// Server sends copies of this host's state. It is safe for concurrent use.
type Server struct {
	opts ServerOptions

	configuration, targets *encoder

	mu        sync.Mutex
	recent    *lru.Cache[ID, *sent]
	receivers map[entity.HostID]time.Time // hosts that are being sent a large copy, and when each last got a part
}

// encoder encodes copies of one state, each of them once.
type encoder struct {
	clock clockwork.Clock
	log   *log.Logger

	mu     sync.Mutex // held while a copy is encoded
	copies *lru.Cache[encoding, *Copy]
}

// encoding identifies what a copy holds.
type encoding struct{ number, known uint64 }

// sent is a large copy that this host has sent parts of.
type sent struct {
	*Copy

	holders []entity.HostID // the last hosts that got all parts
}

// NewServer returns a Server.
func NewServer(opts ServerOptions) *Server {
	if opts.Clock == nil {
		opts.Clock = clockwork.NewRealClock()
	}

	if opts.Log == nil {
		opts.Log = &log.DefaultLogger
	}

	return &Server{
		opts: opts, configuration: newEncoder(opts), targets: newEncoder(opts), recent: newCache[ID, *sent](maxRecent),
		receivers: map[entity.HostID]time.Time{},
	}
}

func newEncoder(opts ServerOptions) *encoder {
	return &encoder{clock: opts.Clock, log: opts.Log, copies: newCache[encoding, *Copy](maxEncoded)}
}

func newCache[K comparable, V any](size int) *lru.Cache[K, V] {
	c, err := lru.New[K, V](size)
	if err != nil {
		panic(err) // only for a size below 1
	}

	return c
}

// Handle returns the part that r asks for. A copy of a single part is sent at any time. A host that asks for a larger one
// while maxReceivers others receive copies gets no data, but is told who else has the copy.
func (s *Server) Handle(r *peer.FetchPartRequest) *peer.Part {
	c, err := s.find(r)
	if err != nil {
		s.opts.Log.Error().Bool("targets", r.GetTargets()).Err(err).Msg("cannot encode a copy for a peer")
	}

	if c == nil {
		return &peer.Part{}
	}

	p := &peer.Part{Copy: uint64(c.id), Size: uint64(c.Size()), Compressed: c.compressed}
	if ID(r.GetCopy()) == c.id && r.GetOffset() < p.GetSize() {
		p.Offset = r.GetOffset()
	}

	end := min(p.GetOffset()+partBytes, p.GetSize())

	if c.Size() > partBytes {
		admitted, others := s.admit(entity.HostID(r.GetHost()), c, end == p.GetSize())
		if !admitted {
			p.Others = others

			return p
		}
	}

	p.Data = c.data[p.GetOffset():end]

	if end == p.GetSize() {
		s.opts.Log.Debug().Str("peer", r.GetHost()).Bool("targets", r.GetTargets()).Int("bytes", c.Size()).Msg("copy sent to a peer")
	}

	return p
}

// find returns the copy that r asks for, or nil if there is nothing newer than what the caller has.
func (s *Server) find(r *peer.FetchPartRequest) (*Copy, error) {
	s.mu.Lock()
	begun, ok := s.recent.Get(ID(r.GetCopy()))
	s.mu.Unlock()

	if ok {
		return begun.Copy, nil
	}

	number, encode := s.opts.Source(r.GetTargets(), r.GetKnown())
	if number == 0 {
		return nil, nil
	}

	if r.GetTargets() {
		return s.targets.encode(encoding{number, r.GetKnown()}, encode)
	}

	return s.configuration.encode(encoding{number: number}, encode)
}

// encode returns the copy that key identifies, which encodeState encodes if there is none yet.
func (e *encoder) encode(key encoding, encodeState func() ([]byte, error)) (*Copy, error) {
	e.mu.Lock()
	defer e.mu.Unlock()

	if c, ok := e.copies.Get(key); ok {
		return c, nil
	}

	began := e.clock.Now()

	state, err := encodeState()
	if err != nil {
		return nil, err
	}

	c, err := New(state)
	if err != nil {
		return nil, err
	}

	e.copies.Add(key, c)

	if c.Size() > partBytes {
		e.log.Info().Uint64("number", key.number).Uint64("known", key.known).Int("bytes", c.Size()).Int("state", len(state)).
			Dur("encoding", e.clock.Since(began)).Msg("copy made for peers")
	}

	return c, nil
}

// admit reports whether host gets a part of the large copy c now; last states that it is the last one. Otherwise admit returns
// hosts that have the copy.
func (s *Server) admit(host entity.HostID, c *Copy, last bool) (admitted bool, others []string) {
	s.mu.Lock()
	defer s.mu.Unlock()

	now := s.opts.Clock.Now()
	maps.DeleteFunc(s.receivers, func(_ entity.HostID, at time.Time) bool { return now.Sub(at) >= receiverTimeout })

	state, ok := s.recent.Get(c.id)
	if !ok {
		state = &sent{Copy: c}
		s.recent.Add(c.id, state)
	}

	if _, receiving := s.receivers[host]; !receiving && len(s.receivers) >= maxReceivers {
		return false, sample(state.holders, host)
	}

	if !last {
		s.receivers[host] = now

		return true, nil
	}

	delete(s.receivers, host)

	state.holders = append(state.holders, host)
	if over := len(state.holders) - maxHolders; over > 0 {
		state.holders = slices.Delete(state.holders, 0, over)
	}

	return true, nil
}

// sample returns up to maxOthers of hosts at random, without host.
func sample(hosts []entity.HostID, host entity.HostID) []string {
	var others []string

	for _, i := range rand.Perm(len(hosts)) {
		if hosts[i] != host && len(others) < maxOthers {
			others = append(others, string(hosts[i]))
		}
	}

	return others
}
