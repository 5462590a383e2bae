package entity

import (
	"slices"

	"github.com/zeebo/errs"
)

// Error is the class of this package's errors. Its name, table, is part of error texts and stays as it is, as
// operators' tools may match it.
var Error = errs.Class("table")

// indexOf returns the index of text in names. The error names the unknown value's type, what.
func indexOf(names []string, text, what string) (int, error) {
	i := slices.Index(names, text)
	if i < 0 {
		return 0, Error.New("unknown %s %q, want one of %v", what, text, names)
	}

	return i, nil
}
