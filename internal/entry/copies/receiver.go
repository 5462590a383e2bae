package copies

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/wire/peer"
)

const (
	// partTimeout bounds the call for one part. Other hosts can send a part that does not arrive in time.
	partTimeout = 500 * time.Millisecond
	// busyPause is the pause after all senders that are known were busy.
	busyPause = 50 * time.Millisecond
	// maxBusyReplies bounds the busy replies of one fetch, after which the caller chooses a sender anew.
	maxBusyReplies = 20
)

// ReceiverOptions configure NewReceiver. All but Clock are required.
type ReceiverOptions struct {
	Clock   clockwork.Clock // nil means the real clock
	Host    entity.HostID   // this host
	Targets bool            // receive the list of targets in place of the configuration
	// FetchPart asks the host from for a part.
	FetchPart func(ctx context.Context, from entity.HostID, r *peer.FetchPartRequest) (*peer.Part, error)
}

// Receiver fetches copies of one state, one after the other. What has arrived of a copy is kept when a fetch fails. It is not
// safe for concurrent use.
type Receiver struct {
	opts    ReceiverOptions
	arrived Copy // incomplete; the zero value if nothing has arrived
	size    int  // number of bytes of the complete copy
}

// NewReceiver returns a Receiver.
func NewReceiver(opts ReceiverOptions) *Receiver {
	if opts.Clock == nil {
		opts.Clock = clockwork.NewRealClock()
	}

	return &Receiver{opts: opts}
}

// Arrived returns the number of bytes that have arrived of a copy that is not complete yet.
func (r *Receiver) Arrived() int { return len(r.arrived.data) }

// Fetch fetches a state newer than known from the host from, or from others that it names while it is busy. It goes on with the
// copy that was begun if the sender holds the same one. Fetch returns nil if there is nothing newer, or once wanted returns
// false, which it asks before each part. It ends with an error as soon as one part does not arrive in time.
func (r *Receiver) Fetch(ctx context.Context, from entity.HostID, known uint64, wanted func() bool) (*Copy, error) {
	sender := from
	failed := map[string]bool{} // named by busy senders

	for busy := 0; wanted(); {
		p, err := r.fetchPart(ctx, sender, known)

		switch {
		case err != nil && sender == from:
			return nil, err
		case err == nil && len(p.GetData()) > 0:
			if c, err := r.add(p); c != nil || err != nil {
				return c, err
			}

			continue
		case err == nil && p.GetSize() == 0 && sender == from:
			return nil, nil
		}

		// The sender is busy, or it was named by a busy one and has nothing either.
		if busy++; busy > maxBusyReplies {
			return nil, Error.New("%d senders were busy", busy)
		}

		failed[string(sender)] = err != nil
		sender = from

		others := slices.DeleteFunc(p.GetOthers(), func(id string) bool { return failed[id] })
		if len(others) > 0 {
			sender = entity.HostID(others[rand.IntN(len(others))])

			continue
		}

		r.opts.Clock.Sleep(busyPause)
	}

	return nil, nil
}

func (r *Receiver) fetchPart(ctx context.Context, from entity.HostID, known uint64) (*peer.Part, error) {
	ctx, cancel := context.WithTimeout(ctx, partTimeout)
	defer cancel()

	return r.opts.FetchPart(ctx, from, &peer.FetchPartRequest{
		Host: string(r.opts.Host), Targets: r.opts.Targets, Known: known, Copy: uint64(r.arrived.id), Offset: uint64(len(r.arrived.data)),
	})
}

// add adds p and returns the copy once it is complete.
func (r *Receiver) add(p *peer.Part) (*Copy, error) {
	if p.GetOffset() == 0 {
		r.arrived, r.size = Copy{id: ID(p.GetCopy()), compressed: p.GetCompressed()}, int(min(p.GetSize(), maxBytes+1))
	}

	have := len(r.arrived.data) + len(p.GetData())
	if ID(p.GetCopy()) != r.arrived.id || p.GetOffset() != uint64(len(r.arrived.data)) || have > r.size || r.size > maxBytes {
		r.arrived = Copy{}

		return nil, Error.New("part at %d of %d bytes does not fit", p.GetOffset(), p.GetSize())
	}

	r.arrived.data = append(r.arrived.data, p.GetData()...)
	if have < r.size {
		return nil, nil
	}

	c := r.arrived
	r.arrived = Copy{}

	if checksum(c.data) != c.id {
		return nil, Error.New("copy of %d bytes has another checksum", len(c.data))
	}

	return &c, nil
}

// WholePart returns a part that holds all of state, for states that come from a host that sends no parts. It is empty if state is.
func WholePart(state []byte) *peer.Part {
	if len(state) == 0 {
		return &peer.Part{}
	}

	return &peer.Part{Copy: uint64(checksum(state)), Size: uint64(len(state)), Data: state}
}
