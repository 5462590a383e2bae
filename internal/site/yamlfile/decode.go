package yamlfile

import (
	"errors"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/lexer"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"
)

const (
	// MaxBytes bounds the size of one file, in bytes.
	MaxBytes = 1 << 20

	maxDepth  = 16  // levels of nested flow collections
	maxColumn = 120 // largest column of a list entry in block style, which bounds the nesting
)

// Decode decodes data, which must hold exactly one YAML document, into the struct that into points to and checks the
// struct's `validate` tags. It fails with an *InvalidError that gives name as the file.
func Decode(name string, data []byte, into any) error {
	if len(data) > MaxBytes {
		return NewInvalidError(name, 0, "the file has %d bytes; the limit is %d", len(data), MaxBytes)
	}

	tokens := lexer.Tokenize(string(data))

	if t, reason := firstForbidden(tokens); t != nil {
		return NewInvalidError(name, t.Position.Line, "%s", reason)
	}

	file, err := parser.Parse(tokens, 0)
	if err != nil {
		return locatedError(name, 0, err)
	}

	var body ast.Node

	for _, doc := range file.Docs {
		switch {
		case doc.Body == nil || doc.Body.Type() == ast.CommentType:
		case body != nil:
			return NewInvalidError(name, doc.Body.GetToken().Position.Line, "a file holds one YAML document; move the second one to a file of its own")
		default:
			body = doc.Body
		}
	}

	if body == nil {
		return NewInvalidError(name, 0, "the file is empty")
	}

	if err := yaml.NodeToValue(body, into, yaml.Strict(), yaml.Validator(checker{})); err != nil {
		return locatedError(name, body.GetToken().Position.Line, err)
	}

	return nil
}

// firstForbidden returns the first token that is invalid YAML or uses a rejected feature of YAML, and the reason. It
// returns nil if there is none.
func firstForbidden(tokens token.Tokens) (*token.Token, string) {
	depth := 0

	for _, t := range tokens {
		switch t.Type {
		case token.AnchorType, token.AliasType, token.MergeKeyType:
			return t, "anchors, aliases and merge keys are not supported; write the value out"
		case token.TagType, token.DirectiveType, token.MappingKeyType:
			return t, "tags, directives and complex keys are not supported"
		case token.InvalidType:
			return t, "not valid YAML: " + firstLine(t.Error)
		case token.SequenceStartType, token.MappingStartType:
			depth++
		case token.SequenceEndType, token.MappingEndType:
			depth--
		case token.SequenceEntryType:
			if t.Position.Column > maxColumn {
				return t, "the list is nested too deeply"
			}
		}

		if depth > maxDepth {
			return t, "the value is nested too deeply"
		}
	}

	return nil, ""
}

// locatedError returns err as an *InvalidError for the file name. Its line is that of err, or else the given one.
func locatedError(name string, line int, err error) error {
	var invalid *InvalidError
	if errors.As(err, &invalid) {
		return NewInvalidError(name, invalid.Problems[0].Line, "%s", invalid.Problems[0].Reason)
	}

	var located yaml.Error
	if !errors.As(err, &located) || located.GetToken() == nil {
		return NewInvalidError(name, line, "%s", firstLine(err.Error()))
	}

	return NewInvalidError(name, located.GetToken().Position.Line, "%s", firstLine(located.GetMessage()))
}

func firstLine(s string) string {
	line, _, _ := strings.Cut(strings.TrimSpace(s), "\n")

	return line
}
