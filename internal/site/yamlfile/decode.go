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

	maxDepth  = 16  // nested flow collections
	maxColumn = 120 // of a nested block entry
)

// Decode reads the one YAML document of data into the struct that into points to and checks its
// `validate` tags. It fails with an *InvalidError; name is the file that the error states.
func Decode(name string, data []byte, into any) error {
	if len(data) > MaxBytes {
		return Refuse(name, 0, "the file has %d bytes; at most %d are read", len(data), MaxBytes)
	}

	tokens := lexer.Tokenize(string(data))

	if t, reason := forbidden(tokens); t != nil {
		return Refuse(name, t.Position.Line, "%s", reason)
	}

	file, err := parser.Parse(tokens, 0)
	if err != nil {
		return refused(name, 0, err)
	}

	var body ast.Node

	for _, doc := range file.Docs {
		switch {
		case doc.Body == nil || doc.Body.Type() == ast.CommentType:
		case body != nil:
			return Refuse(name, doc.Body.GetToken().Position.Line, "a file holds one YAML document; move the second one to a file of its own")
		default:
			body = doc.Body
		}
	}

	if body == nil {
		return Refuse(name, 0, "the file is empty")
	}

	if err := yaml.NodeToValue(body, into, yaml.Strict(), yaml.Validator(checker{})); err != nil {
		return refused(name, body.GetToken().Position.Line, err)
	}

	return nil
}

// forbidden returns the first token that makes the cost of a file unbounded, with the reason.
func forbidden(tokens token.Tokens) (*token.Token, string) {
	depth := 0

	for _, t := range tokens {
		switch t.Type {
		case token.AnchorType, token.AliasType, token.MergeKeyType:
			return t, "anchors, aliases and merge keys are not taken; write the value out"
		case token.TagType, token.DirectiveType, token.MappingKeyType:
			return t, "tags, directives and complex keys are not taken"
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

// refused adds the file to err, and the line where the decoder knows it, else that of the document.
func refused(name string, line int, err error) error {
	var invalid *InvalidError
	if errors.As(err, &invalid) {
		return Refuse(name, invalid.Problems[0].Line, "%s", invalid.Problems[0].Reason)
	}

	var located yaml.Error
	if !errors.As(err, &located) || located.GetToken() == nil {
		return Refuse(name, line, "%s", firstLine(err.Error()))
	}

	return Refuse(name, located.GetToken().Position.Line, "%s", firstLine(located.GetMessage()))
}

func firstLine(s string) string {
	line, _, _ := strings.Cut(strings.TrimSpace(s), "\n")

	return line
}
