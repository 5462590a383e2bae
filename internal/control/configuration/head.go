package configuration

import (
	"encoding/json"
	"fmt"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/wire/platform"
)

const (
	// HeadKey is the key of the object that holds the Head, the commit point of edits.
	HeadKey platform.Key = "config/head"

	shardPrefix = "config/shard/"

	// EditWindow is the number of latest edits whose ids the head keeps. An edit whose base is older than
	// the generation of the oldest of them is refused. So an edit whose base is not that old and whose id
	// is not in the head has not been accepted before.
	EditWindow = 256
)

// EditID identifies one edit. The operator's client generates it at random.
type EditID string

var editIDForm = regexp.MustCompile(`^[A-Za-z0-9-]{8,64}$`)

// Valid reports whether id has 8 to 64 letters, digits or hyphens.
func (id EditID) Valid() bool {
	return editIDForm.MatchString(string(id))
}

type acceptedEdit struct {
	ID         EditID            `json:"id"`
	Generation entity.Generation `json:"generation"`
}

type shardRef struct {
	Key     platform.Key     `json:"key"`
	Version platform.Version `json:"version"`
}

// Head is the commit point: the generation in force, the keys and versions of its shards and the ids of
// the latest edits. The zero value stands for a platform without configuration.
type Head struct {
	Generation entity.Generation      `json:"generation"`
	Shards     map[shardName]shardRef `json:"shards"`
	Edits      []acceptedEdit         `json:"edits"` // the latest EditWindow, oldest first
}

// decodeHead decodes the value of HeadKey. Empty data is the zero Head.
func decodeHead(data []byte) (Head, error) {
	var h Head
	if len(data) == 0 {
		return h, nil
	}

	err := json.Unmarshal(data, &h)

	return h, Error.Wrap(err)
}

// accepted returns the generation in which the edit id was accepted. It reports false if h has no such edit.
func (h Head) accepted(id EditID) (entity.Generation, bool) {
	for _, e := range h.Edits {
		if e.ID == id {
			return e.Generation, true
		}
	}

	return 0, false
}

// oldestBase returns the oldest generation that an edit may have as its base.
func (h Head) oldestBase() entity.Generation {
	if h.Generation < EditWindow {
		return 0
	}

	return h.Generation - EditWindow + 1
}

// appendEdit returns h.Edits with id as the edit of the next generation, limited to EditWindow edits.
func (h Head) appendEdit(id EditID) []acceptedEdit {
	edits := append(slices.Clone(h.Edits), acceptedEdit{ID: id, Generation: h.Generation + 1})

	return edits[max(0, len(edits)-EditWindow):]
}

// references reports whether key is the key of a shard of h.
func (h Head) references(key platform.Key) bool {
	for _, ref := range h.Shards {
		if ref.Key == key {
			return true
		}
	}

	return false
}

// newShardKey returns the key at which the edit id on generation base writes the shard name. Only a head
// of generation base+1 starts to refer to it; later heads keep it while the shard is unchanged.
func newShardKey(base entity.Generation, id EditID, name shardName) platform.Key {
	return platform.Key(fmt.Sprintf("%s%d/%s/%s", shardPrefix, base, id, name))
}

// orphaned reports whether key is a shard's key that neither h nor any later head refers to. A key enters
// the head only in generation base+1, so h must have it if any later head does.
func (h Head) orphaned(key platform.Key) bool {
	rest, ok := strings.CutPrefix(string(key), shardPrefix)
	if !ok {
		return false
	}

	text, _, _ := strings.Cut(rest, "/")

	base, err := strconv.ParseUint(text, 10, 64)

	return err == nil && entity.Generation(base) < h.Generation && !h.references(key)
}
