package document

import (
	"regexp"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"

	"github.com/dotterelflow/dotterelflow/internal/site/yamlfile"
)

// placeholderPrefix starts a template's value that stands for a parameter.
const placeholderPrefix = "$"

// plainScalar matches texts that YAML reads back unchanged without quotes.
var plainScalar = regexp.MustCompile(`^[A-Za-z0-9$]([A-Za-z0-9$%.:/-]*[A-Za-z0-9%])?$`)

// Text is a scalar of a document as it was written. If it was read from YAML, it also holds its line.
type Text struct {
	text string
	line int
}

// NewText returns a Text without a line.
func NewText(s string) Text {
	return Text{text: s}
}

// String returns the value as written.
func (t Text) String() string {
	return t.text
}

// MarshalText encodes t as it was written.
func (t Text) MarshalText() ([]byte, error) {
	return []byte(t.text), nil
}

// MarshalYAML encodes t, without quotes if they are not needed to read it back.
func (t Text) MarshalYAML() ([]byte, error) {
	if plainScalar.MatchString(t.text) {
		return []byte(t.text), nil
	}

	return yaml.Marshal(t.text)
}

// UnmarshalText accepts any text.
func (t *Text) UnmarshalText(text []byte) error {
	*t = Text{text: string(text)}

	return nil
}

// UnmarshalYAML accepts a scalar and stores its line.
func (t *Text) UnmarshalYAML(node ast.Node) error {
	if pair, ok := node.(*ast.MappingValueNode); ok {
		node = pair.Value
	}

	line := node.GetToken().Position.Line

	scalar, ok := node.(ast.ScalarNode)
	if !ok {
		return yamlfile.NewInvalidError("", line, "must be a single value")
	}

	if literal, ok := node.(*ast.LiteralNode); ok {
		*t = Text{text: strings.TrimSpace(literal.Value.Value), line: line}

		return nil
	}

	*t = Text{text: scalar.GetToken().Value, line: line}

	return nil
}

// placeholderName returns the name of the parameter that t stands for, if it is a placeholder.
func (t Text) placeholderName() (name string, ok bool) {
	return strings.CutPrefix(t.text, placeholderPrefix)
}
