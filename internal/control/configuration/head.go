package configuration

import (
	"encoding/json"
	"fmt"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/dotterelflow/dotterelflow/internal/control/table"
	"github.com/dotterelflow/dotterelflow/internal/wire/platform"
)

const (
	// HeadKey is the key of the commit point.
	HeadKey platform.Key = "config/head"

	shardPrefix = "config/shard/"

	// EditWindow is the number of latest edits whose ids the head keeps. An edit against an
	// older generation is refused, so an id that is not kept has not been accepted.
	EditWindow = 256
)

// EditID names one edit of an operator. The operator's client makes it up, at random.
type EditID string

var editIDForm = regexp.MustCompile(`^[A-Za-z0-9-]{8,64}$`)

// Valid reports whether id has 8 to 64 letters, digits or hyphens.
func (id EditID) Valid() bool {
	return editIDForm.MatchString(string(id))
}

type acceptedEdit struct {
	ID         EditID           `json:"id"`
	Generation table.Generation `json:"generation"`
}

type shardRef struct {
	Key     platform.Key     `json:"key"`
	Version platform.Version `json:"version"`
}

// Head is the commit point. The zero value is that of a platform without configuration.
type Head struct {
	Generation table.Generation       `json:"generation"`
	Shards     map[shardName]shardRef `json:"shards"`
	Edits      []acceptedEdit         `json:"edits"` // the latest EditWindow, oldest first
}

func decodeHead(data []byte) (Head, error) {
	var h Head
	if len(data) == 0 {
		return h, nil
	}

	err := json.Unmarshal(data, &h)

	return h, Error.Wrap(err)
}

// accepted returns the generation in which the edit id was accepted.
func (h Head) accepted(id EditID) (table.Generation, bool) {
	for _, e := range h.Edits {
		if e.ID == id {
			return e.Generation, true
		}
	}

	return 0, false
}

// oldestBase returns the oldest generation that an edit may be made against.
func (h Head) oldestBase() table.Generation {
	if h.Generation < EditWindow {
		return 0
	}

	return h.Generation - EditWindow + 1
}

func (h Head) withEdit(id EditID) []acceptedEdit {
	edits := append(slices.Clone(h.Edits), acceptedEdit{ID: id, Generation: h.Generation + 1})

	return edits[max(0, len(edits)-EditWindow):]
}

// refers reports whether key is one of the shards of h.
func (h Head) refers(key platform.Key) bool {
	for _, ref := range h.Shards {
		if ref.Key == key {
			return true
		}
	}

	return false
}

// freshKey returns the key of a shard that only a head of generation base+1 may refer to.
func freshKey(base table.Generation, id EditID, name shardName) platform.Key {
	return platform.Key(fmt.Sprintf("%s%d/%s/%s", shardPrefix, base, id, name))
}

// orphaned reports whether no head from h on will refer to key.
func (h Head) orphaned(key platform.Key) bool {
	rest, ok := strings.CutPrefix(string(key), shardPrefix)
	if !ok {
		return false
	}

	text, _, _ := strings.Cut(rest, "/")

	base, err := strconv.ParseUint(text, 10, 64)

	return err == nil && table.Generation(base) < h.Generation && !h.refers(key)
}
