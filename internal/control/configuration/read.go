package configuration

import (
	"context"
	"errors"
	"sync"

	"github.com/zeebo/errs"
	"golang.org/x/sync/errgroup"

	"github.com/dotterelflow/dotterelflow/internal/wire/platform"
)

const (
	parallelCalls = 8
	maxHeadReads  = 4
)

// Getter reads objects of the platform.
type Getter interface {
	Get(ctx context.Context, key platform.Key) (platform.Object, error)
}

var errSuperseded = errs.New("configuration: a shard has left; the head has moved on")

// Read returns the contents in force at the platform. Shards that known holds already are not read
// again; known may be nil.
func Read(ctx context.Context, g Getter, known *Contents) (*Contents, error) {
	c, _, err := read(ctx, g, known)

	return c, err
}

// read returns the contents of the head in force, and the head's version. Shards that known
// holds already are not read again.
func read(ctx context.Context, g Getter, known *Contents) (*Contents, platform.Version, error) {
	for range maxHeadReads {
		o, err := g.Get(ctx, HeadKey)
		if err != nil {
			return nil, 0, err
		}

		c, err := readShards(ctx, g, o.Value, known)
		if errors.Is(err, errSuperseded) {
			continue
		}

		return c, o.Version, err
	}

	return nil, 0, errSuperseded
}

// readShards returns the contents of the encoded head.
func readShards(ctx context.Context, g Getter, encoded []byte, known *Contents) (*Contents, error) {
	head, err := decodeHead(encoded)
	if err != nil {
		return nil, err
	}

	if known != nil && known.head.Generation == head.Generation {
		return known, nil
	}

	var (
		mu     sync.Mutex
		shards = make(map[shardName]*shard, len(head.Shards))
	)

	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(parallelCalls)

	for name, ref := range head.Shards {
		if known != nil && known.head.Shards[name] == ref {
			mu.Lock()
			shards[name] = known.shards[name]
			mu.Unlock()

			continue
		}

		group.Go(func() error {
			s, err := readShard(ctx, g, ref)
			if err != nil {
				return err
			}

			mu.Lock()
			defer mu.Unlock()

			shards[name] = s

			return nil
		})
	}

	if err := group.Wait(); err != nil {
		return nil, err
	}

	return render(head, shards)
}

func readShard(ctx context.Context, g Getter, ref shardRef) (*shard, error) {
	o, err := g.Get(ctx, ref.Key)
	if err != nil {
		return nil, err
	}

	if o.Version != ref.Version {
		return nil, errSuperseded
	}

	return decodeShard(o.Value)
}
