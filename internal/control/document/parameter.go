package document

import (
	"cmp"
	"slices"
	"strings"

	"github.com/dotterelflow/dotterelflow/internal/site/yamlfile"
)

// check returns an error if value is not valid for p.
func (p Parameter) check(value string) error {
	switch p.Type {
	case Duration:
		return checkRange(value, p, parseDuration)
	case Integer:
		return checkRange(value, p, parseInteger)
	case Share:
		return checkRange(value, p, parseShare)
	case Choice:
		if !slices.Contains(p.Choices, value) {
			return Error.New("%q is not one of %s", value, strings.Join(p.Choices, ", "))
		}

		return nil
	default:
		_, err := parseText(value)

		return err
	}
}

// checkRange checks that value parses and is within the bounds of p. A bound that does not parse, which
// checkBounds reports, counts as zero.
func checkRange[T cmp.Ordered](value string, p Parameter, parse func(string) (T, error)) error {
	v, err := parse(value)
	if err != nil {
		return err
	}

	if p.Min != nil {
		if low, _ := parse(p.Min.text); v < low {
			return Error.New("%q is less than the least value %s", value, p.Min)
		}
	}

	if p.Max != nil {
		if high, _ := parse(p.Max.text); v > high {
			return Error.New("%q is more than the greatest value %s", value, p.Max)
		}
	}

	return nil
}

// checkParameters reports the problems of t's parameter declarations.
func (r *renderer) checkParameters(t Template) {
	seen := map[string]bool{}

	for _, p := range t.Parameters {
		problem := func(format string, args ...any) {
			r.addProblem(t.file, p.Name.line, "parameter "+p.Name.text+": "+format, args...)
		}

		if !yamlfile.IsName(p.Name.text) {
			problem("the name must be lower-case letters, digits, dots or hyphens")
		}

		if seen[p.Name.text] {
			problem("defined twice")
		}

		seen[p.Name.text] = true

		if (p.Type == Choice) != (len(p.Choices) > 0) {
			problem("choices are required for the type choice and allowed for no other")
		}

		r.checkBounds(t, p)

		if p.Default == nil {
			continue
		}

		if err := p.check(p.Default.text); err != nil {
			r.addProblem(t.file, p.Default.line, "parameter %s: default: %s", p.Name, reason(err))
		}
	}
}

// checkBounds reports bounds that do not parse and bounds of types that have none.
func (r *renderer) checkBounds(t Template, p Parameter) {
	for _, bound := range []*Text{p.Min, p.Max} {
		if bound == nil {
			continue
		}

		if p.Type == Choice || p.Type == FreeText {
			r.addProblem(t.file, bound.line, "parameter %s: min and max are allowed only for the types duration, integer and share", p.Name)

			continue
		}

		unbounded := Parameter{Type: p.Type}
		if err := unbounded.check(bound.text); err != nil {
			r.addProblem(t.file, bound.line, "parameter %s: bound: %s", p.Name, reason(err))
		}
	}
}

// reason returns the text of err without the prefix of this package's error class.
func reason(err error) string {
	return strings.TrimPrefix(err.Error(), "document: ")
}
