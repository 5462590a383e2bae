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
	maxParallelCalls = 8
	maxHeadReads     = 4
)

// Getter reads objects of the platform.
type Getter interface {
	Get(ctx context.Context, key platform.Key) (platform.Object, error)
}

var errSuperseded = errs.New("configuration: a shard was deleted or replaced after the head was read")

// Read returns the contents in force at the platform. It does not read shards again that cached holds
// already. The argument cached may be nil.
func Read(ctx context.Context, g Getter, cached *Contents) (*Contents, error) {
	c, _, err := read(ctx, g, cached)

	return c, err
}

// read does what Read does and also returns the head's version. It starts again, up to maxHeadReads times in all, if
// an edit replaces shards meanwhile.
func read(ctx context.Context, g Getter, cached *Contents) (*Contents, platform.Version, error) {
	for range maxHeadReads {
		o, err := g.Get(ctx, HeadKey)
		if err != nil {
			return nil, 0, err
		}

		c, err := readShards(ctx, g, o.Value, cached)
		if errors.Is(err, errSuperseded) {
			continue
		}

		return c, o.Version, err
	}

	return nil, 0, errSuperseded
}

// readShards returns the contents of an encoded head. It fails with errSuperseded if a shard has been
// deleted or replaced. The argument cached may be nil.
func readShards(ctx context.Context, g Getter, encoded []byte, cached *Contents) (*Contents, error) {
	head, err := decodeHead(encoded)
	if err != nil {
		return nil, err
	}

	if cached != nil && cached.head.Generation == head.Generation {
		return cached, nil
	}

	var (
		mu     sync.Mutex
		shards = make(map[shardName]*shard, len(head.Shards))
	)

	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxParallelCalls)

	for name, ref := range head.Shards {
		if cached != nil && cached.head.Shards[name] == ref {
			mu.Lock()
			shards[name] = cached.shards[name]
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
