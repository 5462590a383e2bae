package configuration

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/dotterelflow/dotterelflow/internal/control/document"
	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/site/yamlfile"
)

const maxChanges = 10_000

// Edit is an operator's change, made against the generation Base.
type Edit struct {
	ID      EditID            `json:"id"`
	Base    entity.Generation `json:"base"`
	Changes []Change          `json:"changes"`
}

// Conflict is an item because of which an edit is refused: another edit changed the item after the base of the
// refused edit, which changes the item or an account made from it.
type Conflict struct {
	Ref

	Generation entity.Generation `json:"generation"` // generation of the edit that changed the item
	Diff       string            `json:"diff"`       // line diff from the item in force to the one in the refused edit
}

// ConflictError reports that an edit was refused, without any change, because another edit changed the
// same items first or because its base is too old.
type ConflictError struct {
	Base       entity.Generation
	Generation entity.Generation // generation in force
	Conflicts  []Conflict        // empty if Base is too old to compare
}

// Error names the items in conflict.
func (e *ConflictError) Error() string {
	if len(e.Conflicts) == 0 {
		return fmt.Sprintf("configuration: the edit is against generation %d, which is too old; generation %d is in force", e.Base, e.Generation)
	}

	names := make([]string, len(e.Conflicts))
	for i, c := range e.Conflicts {
		names[i] = c.String()
	}

	return fmt.Sprintf("configuration: another edit has changed %s since generation %d; generation %d is in force",
		strings.Join(names, ", "), e.Base, e.Generation)
}

// check refuses an edit with an invalid id, with no changes or too many, or with an invalid change.
func (e Edit) check() error {
	if !e.ID.Valid() {
		return yamlfile.NewInvalidError("", 0, "the edit id must have 8 to 64 letters, digits or hyphens")
	}

	if len(e.Changes) == 0 || len(e.Changes) > maxChanges {
		return yamlfile.NewInvalidError("", 0, "an edit has 1 to %d changes; this one has %d", maxChanges, len(e.Changes))
	}

	seen := map[Ref]bool{}

	for _, c := range e.Changes {
		if seen[c.Ref] {
			return yamlfile.NewInvalidError("", 0, "%s is changed twice", c.Ref)
		}

		seen[c.Ref] = true

		if err := c.check(); err != nil {
			return err
		}
	}

	return nil
}

// check refuses an unknown kind and a body that does not describe the item c.Ref.
func (c Change) check() error {
	if !slices.Contains([]Kind{Deployment, Template, Account, Target}, c.Kind) {
		return yamlfile.NewInvalidError("", 0, "unknown kind of item %q", c.Kind)
	}

	if len(c.Body) == 0 {
		return nil
	}

	var d document.Document
	if err := (Item{Ref: c.Ref, Body: c.Body}).addTo(&d); err != nil {
		return yamlfile.NewInvalidError("", 0, "%s: %v", c.Ref, err)
	}

	bodies, err := ChangesOf(d)
	if err != nil || len(bodies) != 1 || bodies[0].Ref != c.Ref {
		return yamlfile.NewInvalidError("", 0, "%s: the body describes another item", c.Ref)
	}

	return nil
}

// checkConflicts fails with a *ConflictError if items of e were changed in c after e's base, or if that base is
// too old, and with a *yamlfile.InvalidError if the base is later than the generation in force. The template of
// a changed account is compared too, because the account's rendered form depends on it.
func (c *Contents) checkConflicts(e Edit) error {
	g := c.Generation()

	if e.Base > g {
		return yamlfile.NewInvalidError("", 0, "the edit is against generation %d; only %d is in force", e.Base, g)
	}

	conflict := &ConflictError{Base: e.Base, Generation: g}

	if c != nil && e.Base < c.head.oldestBase() {
		return conflict
	}

	touched := map[Ref]Change{}

	for _, change := range e.Changes {
		touched[change.Ref] = change

		if template, ok := templateOf(change); ok {
			if _, listed := touched[template]; !listed {
				touched[template] = Change{Ref: template}
			}
		}
	}

	for _, r := range slices.SortedFunc(maps.Keys(touched), compareRefs) {
		item, ok := c.find(r)
		if !ok || item.Generation <= e.Base {
			continue
		}

		conflict.Conflicts = append(conflict.Conflicts, Conflict{Ref: r, Generation: item.Generation, Diff: c.diffItem(touched[r])})
	}

	if len(conflict.Conflicts) > 0 {
		return conflict
	}

	return nil
}

// templateOf returns the template that c's account refers to. It reports false for other kinds and for
// deletions.
func templateOf(c Change) (Ref, bool) {
	if c.Kind != Account || len(c.Body) == 0 {
		return Ref{}, false
	}

	var d document.Document
	if err := (Item{Ref: c.Ref, Body: c.Body}).addTo(&d); err != nil {
		return Ref{}, false
	}

	return Ref{Kind: Template, Name: d.Accounts[0].Template.String()}, true
}

// withEdit returns the contents after the changes of e, rendered and checked, and the names of the
// changed shards. For those, the new head still has the old keys, if any; writeShards sets the new ones.
func (c *Contents) withEdit(e Edit) (*Contents, []shardName, error) {
	var head Head

	shards := map[shardName]*shard{}
	refs := map[shardName]shardRef{}

	if c != nil {
		head = c.head
		maps.Copy(refs, c.head.Shards)
		maps.Copy(shards, c.shards)
	}

	head.Shards = refs
	oldest := head.oldestBase()
	head.Edits = head.appendEdit(e.ID)
	head.Generation++

	byShard := map[shardName][]Change{}

	for _, change := range e.Changes {
		byShard[shardOf(change.Ref)] = append(byShard[shardOf(change.Ref)], change)
	}

	changed := slices.Sorted(maps.Keys(byShard))

	for _, name := range changed {
		s, err := shards[name].withChanges(byShard[name], head.Generation, oldest)
		if err != nil {
			return nil, nil, err
		}

		shards[name] = s
	}

	next, err := render(head, shards)

	return next, changed, err
}

// DocumentWithout returns the document in force without the items that e changes. It is empty for a nil c.
func (c *Contents) DocumentWithout(e Edit) document.Document {
	if c == nil {
		return document.Document{}
	}

	touched := map[Ref]bool{}
	for _, change := range e.Changes {
		touched[change.Ref] = true
	}

	d := mergedDocument(c.shards)
	if touched[Ref{Kind: Deployment, Name: string(Deployment)}] {
		d.Deployment = nil
	}

	d.Templates = slices.DeleteFunc(d.Templates, func(t document.Template) bool { return touched[Ref{Template, t.Name.String()}] })
	d.Accounts = slices.DeleteFunc(d.Accounts, func(a document.Account) bool { return touched[Ref{Account, a.ID.String()}] })
	d.Targets = slices.DeleteFunc(d.Targets, func(t document.Target) bool { return touched[Ref{Target, t.ID.String()}] })

	return d
}
