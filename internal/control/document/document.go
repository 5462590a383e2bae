package document

import "github.com/zeebo/errs"

// Error is the class of this package's errors.
var Error = errs.Class("document")

// Document is the content of one or more files that operators write. The zero value is empty.
type Document struct {
	Deployment *Deployment `yaml:"deployment,omitempty" json:"deployment,omitempty"`
	Templates  []Template  `yaml:"templates,omitempty" json:"templates,omitempty"`
	Accounts   []Account   `yaml:"accounts,omitempty" json:"accounts,omitempty"`
	Targets    []Target    `yaml:"targets,omitempty" json:"targets,omitempty"`
}

// Deployment is the name of a deployment and the weights of its decisions. A zero weight counts as 1.
type Deployment struct {
	Name    string  `yaml:"name" json:"name" validate:"name"`
	Weights Weights `yaml:"weights,omitempty" json:"weights"`
}

// Weights scale the terms of the decision on role changes. A zero field counts as 1.
type Weights struct {
	Goodput    float64 `yaml:"goodput,omitempty" json:"goodput,omitempty" validate:"gte=0,lte=1000"`
	RoleChange float64 `yaml:"role-change,omitempty" json:"role-change,omitempty" validate:"gte=0,lte=1000"`
}

// Template describes client accounts that differ only in their parameters. A value "$p"
// is replaced by the value of the parameter p.
type Template struct {
	Name        Text        `yaml:"name" json:"name"`
	Description string      `yaml:"description,omitempty" json:"description,omitempty" validate:"max=500"`
	Parameters  []Parameter `yaml:"parameters,omitempty" json:"parameters,omitempty" validate:"max=50"`
	Limits      *Limits     `yaml:"limits,omitempty" json:"limits,omitempty"`
	Kinds       []Kind      `yaml:"kinds" json:"kinds" validate:"required,max=50"`

	file string
}

// ParameterType is the type of a template's parameter.
type ParameterType string

// Types of parameters.
const (
	Duration ParameterType = "duration" // such as "250ms", more than zero and at most 7 days
	Integer  ParameterType = "integer"  // 0 to 1,000,000,000
	Share    ParameterType = "share"    // "95%" or 0.95, within (0, 1]
	FreeText ParameterType = "text"     // 1 to 200 bytes
	Choice   ParameterType = "choice"   // one of Choices
)

// Parameter declares a parameter of a template. Each account of the template must set it unless it has a
// default.
type Parameter struct {
	Name        Text          `yaml:"name" json:"name"`
	Type        ParameterType `yaml:"type" json:"type" validate:"oneof=duration integer share text choice"`
	Description string        `yaml:"description,omitempty" json:"description,omitempty" validate:"max=500"`
	Default     *Text         `yaml:"default,omitempty" json:"default,omitempty"`
	Min         *Text         `yaml:"min,omitempty" json:"min,omitempty"` // for durations, integers and shares
	Max         *Text         `yaml:"max,omitempty" json:"max,omitempty"` // for durations, integers and shares
	Choices     []string      `yaml:"choices,omitempty" json:"choices,omitempty" validate:"max=50,unique"`
}

// Limits bound the open requests and the token rates of an account, and set its weight among the accounts. A
// missing limit sets none; a missing weight counts as 1.
type Limits struct {
	Open             *Text `yaml:"open,omitempty" json:"open,omitempty"`
	PrefillPerSecond *Text `yaml:"prefill-per-second,omitempty" json:"prefill-per-second,omitempty"`
	DecodePerSecond  *Text `yaml:"decode-per-second,omitempty" json:"decode-per-second,omitempty"`
	Weight           *Text `yaml:"weight,omitempty" json:"weight,omitempty"`
}

// Kind describes a request kind, which is served either by a model or by a service.
type Kind struct {
	Name       Text       `yaml:"name" json:"name"`
	Urgency    *Text      `yaml:"urgency,omitempty" json:"urgency,omitempty"` // missing means ordinary
	AtMostOnce bool       `yaml:"at-most-once,omitempty" json:"at-most-once,omitempty"`
	Model      *Text      `yaml:"model,omitempty" json:"model,omitempty"`
	Service    *Text      `yaml:"service,omitempty" json:"service,omitempty"`
	Deadline   Text       `yaml:"deadline" json:"deadline"`
	MaxOutput  *Text      `yaml:"max-output,omitempty" json:"max-output,omitempty"` // maximum number of output tokens
	Objective  *Objective `yaml:"objective,omitempty" json:"objective,omitempty"`
}

// Objective is a service-level objective. A missing duration sets no bound.
type Objective struct {
	FirstToken    *Text `yaml:"first-token,omitempty" json:"first-token,omitempty"`
	BetweenTokens *Text `yaml:"between-tokens,omitempty" json:"between-tokens,omitempty"`
	Total         *Text `yaml:"total,omitempty" json:"total,omitempty"`
	Good          Text  `yaml:"good" json:"good"`
}

// Account is a client account: its template, the values of the template's parameters and the hashes of
// its bearer keys.
type Account struct {
	ID         Text            `yaml:"id" json:"id"`
	Template   Text            `yaml:"template" json:"template"`
	KeyHashes  []Text          `yaml:"key-hashes" json:"key-hashes" validate:"required,max=10"`
	Parameters map[string]Text `yaml:"parameters,omitempty" json:"parameters,omitempty" validate:"max=50"`

	file string
}

// Target is an engine or a service replica.
type Target struct {
	ID            Text   `yaml:"id" json:"id"`
	Type          string `yaml:"type" json:"type" validate:"oneof=engine service"`
	DataCentre    string `yaml:"data-centre" json:"data-centre" validate:"name"`
	Address       Text   `yaml:"address" json:"address"`
	Model         string `yaml:"model,omitempty" json:"model,omitempty" validate:"required_if=Type engine,excluded_unless=Type engine,omitempty,name"`
	Service       string `yaml:"service,omitempty" json:"service,omitempty" validate:"required_if=Type service,excluded_unless=Type service,omitempty,name"`
	Role          string `yaml:"role,omitempty" json:"role,omitempty" validate:"omitempty,oneof=mixed prefill decode"`
	ChecksFencing bool   `yaml:"checks-fencing,omitempty" json:"checks-fencing,omitempty"`
	Gated         bool   `yaml:"gated,omitempty" json:"gated,omitempty"` // accepts an order to admit no requests
	Slots         int    `yaml:"slots" json:"slots" validate:"min=1,max=100000"`
	PrefillRate   int64  `yaml:"prefill-rate,omitempty" json:"prefill-rate,omitempty" validate:"min=0"` // tokens a second
	DecodeRate    int64  `yaml:"decode-rate,omitempty" json:"decode-rate,omitempty" validate:"min=0"`   // tokens a second
	Leaving       bool   `yaml:"leaving,omitempty" json:"leaving,omitempty"`

	file string
}
