package settings

import (
	"time"

	"github.com/goccy/go-yaml/ast"

	"github.com/dotterelflow/dotterelflow/internal/site/yamlfile"
)

const maxDuration = time.Hour

// Duration is a time.Duration that is written as text in YAML, for example "250ms" or "2m".
type Duration time.Duration

// UnmarshalYAML decodes a duration of more than zero and at most an hour. It fails with a *yamlfile.InvalidError.
func (d *Duration) UnmarshalYAML(node ast.Node) error {
	text, line := node.GetToken().Value, node.GetToken().Position.Line

	v, err := time.ParseDuration(text)
	if err != nil {
		return yamlfile.NewInvalidError("", line, "%q is not a duration; write for example 250ms, 30s or 2m", text)
	}

	if v <= 0 || v > maxDuration {
		return yamlfile.NewInvalidError("", line, "%q is out of range; want more than 0 and at most %v", text, maxDuration)
	}

	*d = Duration(v)

	return nil
}

// String formats d as in YAML.
func (d Duration) String() string {
	return time.Duration(d).String()
}

// KeyHash is the SHA-256 of a key in lower-case hex.
type KeyHash string

// UnmarshalYAML takes the text as written, because YAML could read a hash with only digits as a number.
func (h *KeyHash) UnmarshalYAML(node ast.Node) error {
	*h = KeyHash(node.GetToken().Value)

	return nil
}
