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
	validate     = newValidator()
	namePattern  = regexp.MustCompile(`^[a-z0-9][a-z0-9.-]{0,62}$`)
	wordBoundary = regexp.MustCompile("([a-z])([A-Z])")
)

var ruleMessages = map[string]string{
	"required":         "is missing",
	"required_if":      "is missing",
	"required_without": "is missing",
	"ip-port":          "must be an IP number and a port other than 0, for example 127.0.0.1:8080; a host name is not accepted",
	"key-hash":         "must be the hex SHA-256 of a key: 64 lower-case hex digits",
	"name":             "must be 1 to 63 lower-case letters, digits, dots or hyphens, the first a letter or digit",
	"unique":           "must not list a value twice",
}

// checker adapts the validator to the decoder's interface. The decoder adds the line to its errors.
type checker struct{}

// fieldError is a violated validation rule of a field.
type fieldError struct {
	field, text string
}

// StructField returns the name of the Go field. The decoder uses it to find the line.
func (e fieldError) StructField() string {
	return e.field
}

type fieldErrors []fieldError

// Error returns the message of the first violated rule.
func (e fieldErrors) Error() string {
	return e[0].text
}

// Struct checks the `validate` tags of v, a struct or a pointer to one, and returns an error for the first violated
// rule.
func (checker) Struct(v any) error {
	// The decoder passes a struct, or the pointer if the struct is behind one. Other values have no tags to check.
	if reflect.Indirect(reflect.ValueOf(v)).Kind() != reflect.Struct {
		return nil
	}

	var failed validator.ValidationErrors
	if err := validate.Struct(v); !errors.As(err, &failed) {
		return err
	}

	f := failed[0]

	// For a list element such as "Peers[1]", the decoder can find only the line of the list.
	field, _, _ := strings.Cut(f.StructField(), "[")

	return fieldErrors{{field: field, text: ruleMessage(f)}}
}

// ruleMessage returns the message for the violated rule f, which names the field as in YAML.
func ruleMessage(f validator.FieldError) string {
	if text, ok := ruleMessages[f.Tag()]; ok {
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
		return f.Field() + " cannot be combined with " + kebab(f.Param())
	case "excluded_unless":
		return f.Field() + " is only valid with " + strings.ToLower(f.Param())
	default:
		return f.Field() + " violates the rule " + f.Tag()
	}
}

// kebab returns the kebab-case name of a Go field, as used in YAML.
func kebab(field string) string {
	return strings.ToLower(wordBoundary.ReplaceAllString(field, "$1-$2"))
}

func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())

	v.RegisterTagNameFunc(func(f reflect.StructField) string {
		name, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")

		return name
	})

	add := func(tag string, valid func(string) bool) {
		err := v.RegisterValidation(tag, func(f validator.FieldLevel) bool { return valid(f.Field().String()) })
		if err != nil {
			panic(err) // registration fails only for an empty tag or a nil function
		}
	}

	add("ip-port", IsAddress)
	add("key-hash", IsKeyHash)
	add("name", IsName)

	return v
}

// IsAddress reports whether s is an IP address and a port other than zero, such as 127.0.0.1:8080.
func IsAddress(s string) bool {
	a, err := netip.ParseAddrPort(s)

	return err == nil && a.Port() != 0
}

// IsKeyHash reports whether s is a SHA-256 in lower-case hex.
func IsKeyHash(s string) bool {
	b, err := hex.DecodeString(s)

	return err == nil && len(b) == keyHashBytes && s == strings.ToLower(s)
}

// IsName reports whether s is a valid name, for example of a client account, template or target: 1 to 63 lower-case
// letters, digits, dots or hyphens, the first a letter or digit.
func IsName(s string) bool {
	return namePattern.MatchString(s)
}
