package configuration

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"slices"

	"github.com/zeebo/errs"

	"github.com/dotterelflow/dotterelflow/internal/control/document"
	"github.com/dotterelflow/dotterelflow/internal/control/entity"
)

// Error is the class of this package's errors.
var Error = errs.Class("configuration")

// Kind is the kind of an item.
type Kind string

// Kinds of items.
const (
	Deployment Kind = "deployment" // has a single item, named "deployment"
	Template   Kind = "template"
	Account    Kind = "account"
	Target     Kind = "target"
)

// Ref names an item.
type Ref struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
}

// String returns for example "account broker-portal".
func (r Ref) String() string {
	return string(r.Kind) + " " + r.Name
}

// Item is an accepted template, account, target or deployment. A deleted item is kept without a Body
// until no edit may have a base older than the deletion, so that a concurrent edit of it is a conflict.
type Item struct {
	Ref

	Generation entity.Generation `json:"generation"` // generation of the edit that last changed the item
	Deleted    bool              `json:"deleted,omitempty"`
	Body       json.RawMessage   `json:"body,omitempty"` // JSON of the item's type in package document
}

// Change creates or replaces an item, or deletes it if Body is empty.
type Change struct {
	Ref

	Body json.RawMessage `json:"body,omitempty"`
}

// ChangesOf returns the changes that create or replace each item of d.
func ChangesOf(d document.Document) ([]Change, error) {
	var changes []Change

	add := func(kind Kind, name string, item any) error {
		body, err := json.Marshal(item)
		if err != nil {
			return Error.Wrap(err)
		}

		changes = append(changes, Change{Ref: Ref{Kind: kind, Name: name}, Body: body})

		return nil
	}

	var group errs.Group

	if d.Deployment != nil {
		group.Add(add(Deployment, string(Deployment), d.Deployment))
	}

	for _, t := range d.Templates {
		group.Add(add(Template, t.Name.String(), t))
	}

	for _, a := range d.Accounts {
		group.Add(add(Account, a.ID.String(), a))
	}

	for _, t := range d.Targets {
		group.Add(add(Target, t.ID.String(), t))
	}

	return changes, group.Err()
}

// addTo adds the item to d.
func (i Item) addTo(d *document.Document) error {
	switch i.Kind {
	case Deployment:
		return json.Unmarshal(i.Body, &d.Deployment)
	case Template:
		return appendItem(i.Body, &d.Templates)
	case Account:
		return appendItem(i.Body, &d.Accounts)
	case Target:
		return appendItem(i.Body, &d.Targets)
	default:
		return Error.New("unknown kind of item %q", i.Kind)
	}
}

func appendItem[T any](body []byte, items *[]T) error {
	var item T
	if err := json.Unmarshal(body, &item); err != nil {
		return err
	}

	*items = append(*items, item)

	return nil
}

const accountShards = 64

type shardName string

// shardOf returns the shard of r: accounts are spread over accountShards shards by the hash of their
// name, and each other kind has one shard.
func shardOf(r Ref) shardName {
	if r.Kind != Account {
		return shardName(r.Kind)
	}

	h := fnv.New32a()
	_, _ = h.Write([]byte(r.Name))

	return shardName(fmt.Sprintf("accounts-%02x", h.Sum32()%accountShards))
}

// shard is a part of the contents that is stored as one object. It is immutable. Its items are sorted by Ref.
type shard struct {
	Items []Item `json:"items"`

	doc document.Document
}

func newShard(items []Item) (*shard, error) {
	s := &shard{Items: items}

	for _, i := range items {
		if i.Deleted {
			continue
		}

		if err := i.addTo(&s.doc); err != nil {
			return nil, Error.New("%s: %v", i.Ref, err)
		}
	}

	return s, nil
}

func decodeShard(data []byte) (*shard, error) {
	var s shard
	if err := json.Unmarshal(data, &s); err != nil {
		return nil, Error.Wrap(err)
	}

	if !slices.IsSortedFunc(s.Items, func(a, b Item) int { return compareRefs(a.Ref, b.Ref) }) {
		return nil, Error.New("the items of a shard are not in order")
	}

	return newShard(s.Items)
}

func (s *shard) encode() ([]byte, error) {
	return json.Marshal(s)
}

// find returns the index of the item that r names, or where to insert it, and whether it exists.
func (s *shard) find(r Ref) (int, bool) {
	if s == nil {
		return 0, false
	}

	return slices.BinarySearchFunc(s.Items, r, func(i Item, r Ref) int { return compareRefs(i.Ref, r) })
}

// withChanges returns a copy of s after the changes of generation g. It drops items that were deleted in a
// generation before oldest. A nil s is empty.
func (s *shard) withChanges(changes []Change, g, oldest entity.Generation) (*shard, error) {
	var items []Item
	if s != nil {
		items = slices.Clone(s.Items)
	}

	for _, c := range changes {
		item := Item{Ref: c.Ref, Generation: g, Deleted: len(c.Body) == 0, Body: bytes.Clone(c.Body)}

		at, found := (&shard{Items: items}).find(c.Ref)
		if found {
			items[at] = item
		} else {
			items = slices.Insert(items, at, item)
		}
	}

	items = slices.DeleteFunc(items, func(i Item) bool { return i.Deleted && i.Generation < oldest })

	return newShard(items)
}

func compareRefs(a, b Ref) int {
	return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Name, b.Name))
}
