package yamlfile

import (
	"encoding/hex"
	"errors"
	"net/netip"
	"reflect"
	"regexp"
	"strings"

	"github.com/go-playground/validator/v10"
)

const keyHashBytes = 32

var (
	rules     = newRules()
	nameRun   = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]{0,62}$`)
	wordStart = regexp.MustCompile("([a-z])([A-Z])")
)

var reasons = map[string]string{
	"required":         "is missing",
	"required_if":      "is missing",
	"required_without": "is missing",
	"ip-port":          "must be an IP number and a port, for example 127.0.0.1:8080; a host name is not taken",
	"key-hash":         "must be the hex SHA-256 of a key: 64 hex digits",
	"name":             "must be 1 to 63 lower-case letters, digits, dots or hyphens",
	"unique":           "must not list a value twice",
}

// checker adapts the validator's rules to the decoder, which adds the line.
type checker struct{}

// violation is one broken rule of a field.
type violation struct {
	field, text string
}

// StructField names the Go field, by which the decoder finds the line.
func (v violation) StructField() string {
	return v.field
}

type violations []violation

// Error returns the first broken rule.
func (v violations) Error() string {
	return v[0].text
}

// Struct checks the `validate` tags of v.
func (checker) Struct(v any) error {
	// The decoder calls this with a struct or, for one behind a pointer, with the pointer.
	if reflect.Indirect(reflect.ValueOf(v)).Kind() != reflect.Struct {
		return nil
	}

	var failed validator.ValidationErrors
	if err := rules.Struct(v); !errors.As(err, &failed) {
		return err
	}

	f := failed[0]

	// An element of a list is named "Peers[1]"; the decoder knows the line of the list.
	field, _, _ := strings.Cut(f.StructField(), "[")

	return violations{{field: field, text: reason(f)}}
}

func reason(f validator.FieldError) string {
	if text, ok := reasons[f.Tag()]; ok {
		return f.Field() + " " + text
	}

	switch f.Tag() {
	case "oneof":
		return f.Field() + " must be one of " + f.Param()
	case "min", "gte":
		return f.Field() + " must be at least " + f.Param()
	case "max", "lte":
		return f.Field() + " must be at most " + f.Param()
	case "gt":
		return f.Field() + " must be more than " + f.Param()
	case "excluded_with":
		return f.Field() + " does not go with " + kebab(f.Param())
	case "excluded_unless":
		return f.Field() + " goes only with " + strings.ToLower(f.Param())
	default:
		return f.Field() + " breaks the rule " + f.Tag()
	}
}

// kebab returns the name in YAML of a Go field.
func kebab(field string) string {
	return strings.ToLower(wordStart.ReplaceAllString(field, "$1-$2"))
}

func newRules() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())

	v.RegisterTagNameFunc(func(f reflect.StructField) string {
		name, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")

		return name
	})

	add := func(tag string, valid func(string) bool) {
		err := v.RegisterValidation(tag, func(f validator.FieldLevel) bool { return valid(f.Field().String()) })
		if err != nil {
			panic(err) // a rule without a name, which no caller passes
		}
	}

	add("ip-port", IsAddress)
	add("key-hash", IsKeyHash)
	add("name", IsName)

	return v
}

// IsAddress reports whether s is an IP number and a port other than zero.
func IsAddress(s string) bool {
	a, err := netip.ParseAddrPort(s)

	return err == nil && a.Port() != 0
}

// IsKeyHash reports whether s is a hex SHA-256 in lower case.
func IsKeyHash(s string) bool {
	b, err := hex.DecodeString(s)

	return err == nil && len(b) == keyHashBytes && s == strings.ToLower(s)
}

// IsName reports whether s is a name of an account, template, target or the like.
func IsName(s string) bool {
	return nameRun.MatchString(s)
}
