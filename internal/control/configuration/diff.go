package configuration

import (
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"

	"github.com/dotterelflow/dotterelflow/internal/control/document"
	"github.com/dotterelflow/dotterelflow/internal/control/entity"
)

const (
	maxListedNames = 20
	maxDiffCells   = 1 << 20 // largest product of the line counts of two texts that lineDiff compares
)

// Diff returns what e would change in c: a line diff of each item, and the accounts and targets
// whose rendered form changes. It fails with the same errors as Editor.Apply for an edit that is
// invalid or in conflict.
func (c *Contents) Diff(e Edit) (string, error) {
	if err := e.check(); err != nil {
		return "", err
	}

	if err := c.checkConflicts(e); err != nil {
		return "", err
	}

	next, _, err := c.withEdit(e)
	if err != nil {
		return "", err
	}

	var b strings.Builder

	for _, change := range e.Changes {
		if d := c.diffItem(change); d != "" {
			fmt.Fprintf(&b, "%s\n%s", change.Ref, d)
		}
	}

	b.WriteString(describeEffect(c.Snapshot(), next.Snapshot()))

	return b.String(), nil
}

// describeEffect lists the accounts and targets that differ between two snapshots. A nil from counts as empty.
func describeEffect(from, to *entity.Snapshot) string {
	if from == nil {
		from = entity.NewSnapshot(entity.Config{})
	}

	accounts := changedNames(from.Accounts, to.Accounts, func(a entity.Account) string { return string(a.ID) })
	targets := changedNames(from.Targets, to.Targets, func(t entity.Target) string { return string(t.ID) })

	return fmt.Sprintf("effect: %s; %s\n", formatNames("client account", accounts), formatNames("target", targets))
}

// changedNames returns the sorted names of the values that were added, removed or changed.
func changedNames[T any](from, to []T, name func(T) string) []string {
	before := make(map[string]T, len(from))
	for _, v := range from {
		before[name(v)] = v
	}

	changed := map[string]bool{}

	for _, v := range to {
		old, ok := before[name(v)]
		if !ok || !reflect.DeepEqual(old, v) {
			changed[name(v)] = true
		}

		delete(before, name(v))
	}

	for removed := range before {
		changed[removed] = true
	}

	return slices.Sorted(maps.Keys(changed))
}

func formatNames(what string, names []string) string {
	switch n := len(names); {
	case n == 0:
		return "no " + what + " changes"
	case n > maxListedNames:
		return fmt.Sprintf("%d %ss change: %s and others", n, what, strings.Join(names[:maxListedNames], ", "))
	case n == 1:
		return "1 " + what + " changes: " + names[0]
	default:
		return fmt.Sprintf("%d %ss change: %s", n, what, strings.Join(names, ", "))
	}
}

// diffItem returns the line diff between the item in force and the item after change.
func (c *Contents) diffItem(change Change) string {
	current, _ := c.Item(change.Ref)

	return lineDiff(current.YAML(), Item{Ref: change.Ref, Body: change.Body}.YAML())
}

// YAML returns the item as a YAML document that an operator can edit. It is empty for an item without
// a valid Body.
func (i Item) YAML() string {
	var d document.Document

	if len(i.Body) == 0 || i.addTo(&d) != nil {
		return ""
	}

	text, err := d.YAML()
	if err != nil {
		return ""
	}

	return string(text)
}

// lineDiff returns a line diff from a to b along a longest common subsequence: removed lines are marked
// "-" and added lines "+". It is empty if a equals b, and holds only line counts if the texts are too long.
func lineDiff(a, b string) string {
	if a == b {
		return ""
	}

	from, to := splitLines(a), splitLines(b)
	if len(from)*len(to) > maxDiffCells {
		return fmt.Sprintf("- %d lines\n+ %d lines\n", len(from), len(to))
	}

	common := commonLengths(from, to)

	var out strings.Builder

	for i, j := 0, 0; i < len(from) || j < len(to); {
		switch {
		case i < len(from) && j < len(to) && from[i] == to[j]:
			out.WriteString("  " + from[i] + "\n")
			i++
			j++
		case j == len(to) || i < len(from) && common[i+1][j] >= common[i][j+1]:
			out.WriteString("- " + from[i] + "\n")
			i++
		default:
			out.WriteString("+ " + to[j] + "\n")
			j++
		}
	}

	return out.String()
}

func splitLines(s string) []string {
	if s == "" {
		return nil
	}

	return strings.Split(strings.TrimSuffix(s, "\n"), "\n")
}

// commonLengths returns n, where n[i][j] is the length of the longest common subsequence of a[i:] and b[j:].
func commonLengths(a, b []string) [][]int {
	n := make([][]int, len(a)+1)
	for i := range n {
		n[i] = make([]int, len(b)+1)
	}

	for i := len(a) - 1; i >= 0; i-- {
		for j := len(b) - 1; j >= 0; j-- {
			if a[i] == b[j] {
				n[i][j] = n[i+1][j+1] + 1
			} else {
				n[i][j] = max(n[i+1][j], n[i][j+1])
			}
		}
	}

	return n
}
