package document

import (
	"time"

	"github.com/dotterelflow/dotterelflow/internal/control/table"
)

// resolver resolves the values of a template for one account. With values nil it checks the template
// alone: literals are parsed and placeholders need only be declared in known.
type resolver struct {
	r        *renderer
	file     string
	subject  string
	declared map[string]bool
	values   map[string]Text
}

func (s *resolver) resolveTemplate(t Template) (map[table.KindName]table.Kind, table.Limits) {
	kinds := make(map[table.KindName]table.Kind, len(t.Kinds))

	for _, k := range t.Kinds {
		kinds[table.KindName(k.Name.text)] = s.resolveKind(k)
	}

	return kinds, s.resolveLimits(t.Limits)
}

func (s *resolver) resolveKind(k Kind) table.Kind {
	out := table.Kind{
		Name:       table.KindName(k.Name.text),
		AtMostOnce: k.AtMostOnce,
		Urgency:    resolve(s, k.Urgency, "urgency", parseUrgency),
		Model:      table.Model(resolve(s, k.Model, "model", parseText)),
		Service:    table.ServiceName(resolve(s, k.Service, "service", parseText)),
		MaxOutput:  table.Tokens(resolve(s, k.MaxOutput, "max-output", parseInteger)),
		Deadline:   resolve(s, &k.Deadline, "deadline", parseDuration),
	}

	if k.Objective == nil {
		return out
	}

	out.Objective = table.Objective{
		FirstToken:    resolve(s, k.Objective.FirstToken, "first-token", parseDuration),
		BetweenTokens: resolve(s, k.Objective.BetweenTokens, "between-tokens", parseDuration),
		Total:         resolve(s, k.Objective.Total, "total", parseDuration),
		Good:          resolve(s, &k.Objective.Good, "good", parseShare),
	}

	s.checkDeadline(k, out)

	return out
}

// checkDeadline refuses an objective that the deadline rules out.
func (s *resolver) checkDeadline(k Kind, out table.Kind) {
	latest := max(out.Objective.Total, out.Objective.FirstToken)
	if s.values == nil || out.Deadline == 0 || latest <= out.Deadline {
		return
	}

	s.r.addProblem(s.file, k.Deadline.line, "%s: kind %s: the deadline %v is shorter than the objective's %v",
		s.subject, k.Name, out.Deadline, latest.Round(time.Millisecond))
}

func (s *resolver) resolveLimits(l *Limits) table.Limits {
	if l == nil {
		return table.Limits{}
	}

	return table.Limits{
		Open:             int(resolve(s, l.Open, "open", parseInteger)),
		PrefillPerSecond: table.Tokens(resolve(s, l.PrefillPerSecond, "prefill-per-second", parseInteger)),
		DecodePerSecond:  table.Tokens(resolve(s, l.DecodePerSecond, "decode-per-second", parseInteger)),
		Weight:           resolve(s, l.Weight, "weight", parseWeight),
	}
}

// resolve returns the parsed value of t, or of the parameter that it stands for. It returns the
// zero value for a nil t and after a refusal.
func resolve[T any](s *resolver, t *Text, what string, parse func(string) (T, error)) T {
	var zero T

	if t == nil {
		return zero
	}

	text := t.text

	if name, ok := t.placeholderName(); ok {
		if s.values == nil {
			if !s.declared[name] {
				s.r.addProblem(s.file, t.line, "%s: %s: no parameter %q is declared", s.subject, what, name)
			}

			return zero
		}

		value, ok := s.values[name]
		if !ok {
			return zero // refused where the parameter is missing
		}

		text = value.text
	}

	v, err := parse(text)
	if err != nil {
		s.r.addProblem(s.file, t.line, "%s: %s: %s", s.subject, what, reason(err))

		return zero
	}

	return v
}
