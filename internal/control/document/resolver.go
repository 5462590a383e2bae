package document

import (
	"time"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
)

// resolver resolves the values of a template for one account and reports problems to the renderer. If
// values is nil, it checks the template without an account: it parses literals and checks that the
// placeholders are declared.
type resolver struct {
	renderer *renderer
	file     string
	subject  string          // subject of messages, such as "account a"
	declared map[string]bool // names of the template's parameters; used only if values is nil
	values   map[string]Text // values of the account's parameters, by name
}

func (r *resolver) resolveTemplate(t Template) (map[entity.KindName]entity.Kind, entity.Limits) {
	kinds := make(map[entity.KindName]entity.Kind, len(t.Kinds))

	for _, k := range t.Kinds {
		kinds[entity.KindName(k.Name.text)] = r.resolveKind(k)
	}

	return kinds, r.resolveLimits(t.Limits)
}

func (r *resolver) resolveKind(k Kind) entity.Kind {
	out := entity.Kind{
		Name:       entity.KindName(k.Name.text),
		AtMostOnce: k.AtMostOnce,
		Urgency:    resolve(r, k.Urgency, "urgency", parseUrgency),
		Model:      entity.Model(resolve(r, k.Model, "model", parseText)),
		Service:    entity.ServiceName(resolve(r, k.Service, "service", parseText)),
		MaxOutput:  entity.Tokens(resolve(r, k.MaxOutput, "max-output", parseInteger)),
		Deadline:   resolve(r, &k.Deadline, "deadline", parseDuration),
	}

	if k.Objective == nil {
		return out
	}

	out.Objective = entity.Objective{
		FirstToken:    resolve(r, k.Objective.FirstToken, "first-token", parseDuration),
		BetweenTokens: resolve(r, k.Objective.BetweenTokens, "between-tokens", parseDuration),
		Total:         resolve(r, k.Objective.Total, "total", parseDuration),
		Good:          resolve(r, &k.Objective.Good, "good", parseShare),
	}

	r.checkDeadline(k, out)

	return out
}

// checkDeadline reports an objective that allows more time than the deadline. It does nothing if r
// checks a template without an account.
func (r *resolver) checkDeadline(k Kind, out entity.Kind) {
	latest := max(out.Objective.Total, out.Objective.FirstToken)
	if r.values == nil || out.Deadline == 0 || latest <= out.Deadline {
		return
	}

	r.renderer.addProblem(r.file, k.Deadline.line, "%s: kind %s: the deadline %v is shorter than the objective's %v",
		r.subject, k.Name, out.Deadline, latest.Round(time.Millisecond))
}

func (r *resolver) resolveLimits(l *Limits) entity.Limits {
	if l == nil {
		return entity.Limits{}
	}

	return entity.Limits{
		Open:             int(resolve(r, l.Open, "open", parseInteger)),
		PrefillPerSecond: entity.Tokens(resolve(r, l.PrefillPerSecond, "prefill-per-second", parseInteger)),
		DecodePerSecond:  entity.Tokens(resolve(r, l.DecodePerSecond, "decode-per-second", parseInteger)),
		Weight:           resolve(r, l.Weight, "weight", parseWeight),
	}
}

// resolve returns the parsed value of t, or of the parameter that t refers to. It returns the zero value
// for a nil t, for a placeholder without values and after a problem.
func resolve[T any](r *resolver, t *Text, field string, parse func(string) (T, error)) T {
	var zero T

	if t == nil {
		return zero
	}

	text := t.text

	if name, ok := t.placeholderName(); ok {
		if r.values == nil {
			if !r.declared[name] {
				r.renderer.addProblem(r.file, t.line, "%s: %s: no parameter %q is declared", r.subject, field, name)
			}

			return zero
		}

		value, ok := r.values[name]
		if !ok {
			return zero // reported as a missing or undeclared parameter already
		}

		text = value.text
	}

	v, err := parse(text)
	if err != nil {
		r.renderer.addProblem(r.file, t.line, "%s: %s: %s", r.subject, field, reason(err))

		return zero
	}

	return v
}
