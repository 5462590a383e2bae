package yamlfile

import (
	"fmt"
	"strings"

	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("yamlfile")

// Problem is one error at a place in a file.
type Problem struct {
	File   string `json:"file,omitempty"`
	Line   int    `json:"line,omitempty"` // counted from 1; zero if the error has no line
	Reason string `json:"reason"`
}

// String returns "file:line: reason", without the line if there is none. Without a file, it returns only the reason.
func (p Problem) String() string {
	switch {
	case p.File == "":
		return p.Reason
	case p.Line == 0:
		return p.File + ": " + p.Reason
	default:
		return fmt.Sprintf("%s:%d: %s", p.File, p.Line, p.Reason)
	}
}

// InvalidError is returned for an invalid file. It has at least one Problem.
type InvalidError struct {
	Problems []Problem
}

// Error returns the problems, one per line.
func (e *InvalidError) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.String()
	}

	return strings.Join(lines, "\n")
}

// NewInvalidError returns an *InvalidError with a single Problem, whose Reason is formatted from format and args.
func NewInvalidError(file string, line int, format string, args ...any) error {
	return &InvalidError{Problems: []Problem{{File: file, Line: line, Reason: fmt.Sprintf(format, args...)}}}
}
