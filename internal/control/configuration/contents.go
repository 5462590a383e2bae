package configuration

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"
	"maps"
	"slices"
	"sync"

	"github.com/dotterelflow/dotterelflow/internal/control/document"
	"github.com/dotterelflow/dotterelflow/internal/control/entity"
)

// maxExportBytes limits the decompressed size of a peer's export.
const maxExportBytes = 64 << 20

// Contents is one generation of the accepted configuration: the shards and the snapshot rendered from
// them. It is immutable and safe for concurrent use. A nil *Contents stands for generation zero.
type Contents struct {
	head     Head
	shards   map[shardName]*shard
	snapshot *entity.Snapshot

	exportOnce sync.Once
	exported   []byte
}

// render renders the shards to a snapshot. It fails if they are not a valid configuration.
func render(head Head, shards map[shardName]*shard) (*Contents, error) {
	cfg, err := mergedDocument(shards).Config()
	if err != nil {
		return nil, err
	}

	cfg.Generation = head.Generation

	return &Contents{head: head, shards: shards, snapshot: entity.NewSnapshot(cfg)}, nil
}

// mergedDocument returns the items of all shards as one document.
func mergedDocument(shards map[shardName]*shard) document.Document {
	var d document.Document

	for _, name := range slices.Sorted(maps.Keys(shards)) {
		part := shards[name].doc

		if part.Deployment != nil {
			d.Deployment = part.Deployment
		}

		d.Templates = append(d.Templates, part.Templates...)
		d.Accounts = append(d.Accounts, part.Accounts...)
		d.Targets = append(d.Targets, part.Targets...)
	}

	return d
}

// Generation returns the generation of c, or zero for a nil c.
func (c *Contents) Generation() entity.Generation {
	if c == nil {
		return 0
	}

	return c.head.Generation
}

// Snapshot returns the rendered configuration, or nil for a nil c.
func (c *Contents) Snapshot() *entity.Snapshot {
	if c == nil {
		return nil
	}

	return c.snapshot
}

// Item returns the item that r names. It reports false if there is none or it was deleted.
func (c *Contents) Item(r Ref) (Item, bool) {
	i, ok := c.find(r)

	return i, ok && !i.Deleted
}

// Items returns the items of a kind, sorted by name.
func (c *Contents) Items(kind Kind) []Item {
	if c == nil {
		return nil
	}

	var items []Item

	for _, s := range c.shards {
		for _, i := range s.Items {
			if i.Kind == kind && !i.Deleted {
				items = append(items, i)
			}
		}
	}

	slices.SortFunc(items, func(a, b Item) int { return compareRefs(a.Ref, b.Ref) })

	return items
}

// find returns the item that r names, even if it was deleted.
func (c *Contents) find(r Ref) (Item, bool) {
	if c == nil {
		return Item{}, false
	}

	s := c.shards[shardOf(r)]

	at, ok := s.find(r)
	if !ok {
		return Item{}, false
	}

	return s.Items[at], true
}

type exportForm struct {
	Head   Head                 `json:"head"`
	Shards map[shardName]*shard `json:"shards"`
}

// Export encodes c, which must not be nil, for Import on a peer, as gzipped JSON. The caller must not change
// the result, which is encoded once and kept.
func (c *Contents) Export() []byte {
	c.exportOnce.Do(func() {
		var b bytes.Buffer

		w := gzip.NewWriter(&b)
		// Writes to a bytes.Buffer do not fail, and all of the values were decoded from JSON before.
		_ = json.NewEncoder(w).Encode(exportForm{Head: c.head, Shards: c.shards})
		_ = w.Close()

		c.exported = b.Bytes()
	})

	return c.exported
}

// Import decodes the result of a peer's Export. It fails if data does not decode or has more than
// maxExportBytes decompressed, if a shard is missing, or if the configuration is invalid.
func Import(data []byte) (*Contents, error) {
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, Error.Wrap(err)
	}

	var form exportForm
	if err := json.NewDecoder(io.LimitReader(r, maxExportBytes)).Decode(&form); err != nil {
		return nil, Error.Wrap(err)
	}

	if len(form.Shards) != len(form.Head.Shards) {
		return nil, Error.New("the export has %d shards; its head lists %d", len(form.Shards), len(form.Head.Shards))
	}

	shards := make(map[shardName]*shard, len(form.Shards))

	for name := range form.Head.Shards {
		part := form.Shards[name]
		if part == nil {
			return nil, Error.New("the export lacks shard %s", name)
		}

		if shards[name], err = newShard(part.Items); err != nil {
			return nil, err
		}
	}

	return render(form.Head, shards)
}
