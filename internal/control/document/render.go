package document

import (
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/site/yamlfile"
)

const maxProblems = 20

// renderer renders a document and collects its problems, up to maxProblems.
type renderer struct {
	problems  []yamlfile.Problem
	templates map[string]Template
}

// Config renders d to a configuration with generation zero. It fails with a *yamlfile.InvalidError that
// lists up to 20 problems.
func (d Document) Config() (entity.Config, error) {
	r := &renderer{templates: map[string]Template{}}

	for _, t := range d.Templates {
		r.checkTemplate(t)
	}

	cfg := entity.Config{Accounts: make([]entity.Account, 0, len(d.Accounts)), Targets: make([]entity.Target, 0, len(d.Targets))}

	if d.Deployment != nil {
		cfg.Weights = entity.Weights(d.Deployment.Weights)
	}

	accounts, keys := map[string]bool{}, map[string]bool{}

	for _, a := range d.Accounts {
		if accounts[a.ID.text] {
			r.addProblem(a.file, a.ID.line, "account %s is defined twice", a.ID)
		}

		accounts[a.ID.text] = true
		cfg.Accounts = append(cfg.Accounts, r.renderAccount(a, keys))
	}

	targets, addresses := map[string]bool{}, map[string]bool{}

	for _, t := range d.Targets {
		r.checkUnique(targets, t, t.ID, "id")
		r.checkUnique(addresses, t, t.Address, "address")
		cfg.Targets = append(cfg.Targets, r.renderTarget(t))
	}

	if len(r.problems) > 0 {
		return entity.Config{}, &yamlfile.InvalidError{Problems: r.problems}
	}

	return cfg, nil
}

func (r *renderer) addProblem(file string, line int, format string, args ...any) {
	if len(r.problems) < maxProblems {
		r.problems = append(r.problems, yamlfile.Problem{File: file, Line: line, Reason: fmt.Sprintf(format, args...)})
	}
}

// checkUnique reports value, the given field of t, if it is in seen, and adds it to seen.
func (r *renderer) checkUnique(seen map[string]bool, t Target, value Text, field string) {
	if seen[value.text] {
		r.addProblem(t.file, value.line, "target %s: another target has the %s %s", t.ID, field, value)
	}

	seen[value.text] = true
}

// checkTemplate checks t without an account, so that an unused template is checked too, and registers it
// for renderAccount.
func (r *renderer) checkTemplate(t Template) {
	if !yamlfile.IsName(t.Name.text) {
		r.addProblem(t.file, t.Name.line, "template %q: the name must be lower-case letters, digits, dots or hyphens", t.Name)
	}

	if _, ok := r.templates[t.Name.text]; ok {
		r.addProblem(t.file, t.Name.line, "template %s is defined twice", t.Name)
	}

	r.templates[t.Name.text] = t
	r.checkParameters(t)
	r.checkKinds(t)
}

func (r *renderer) checkKinds(t Template) {
	seen := map[string]bool{}
	declared := map[string]bool{}

	for _, p := range t.Parameters {
		declared[p.Name.text] = true
	}

	for _, k := range t.Kinds {
		if !yamlfile.IsName(k.Name.text) {
			r.addProblem(t.file, k.Name.line, "kind %q: the name must be lower-case letters, digits, dots or hyphens", k.Name)
		}

		if seen[k.Name.text] {
			r.addProblem(t.file, k.Name.line, "kind %s is defined twice", k.Name)
		}

		seen[k.Name.text] = true

		if (k.Model == nil) == (k.Service == nil) {
			r.addProblem(t.file, k.Name.line, "kind %s: give either a model or a service", k.Name)
		}
	}

	templateResolver := &resolver{renderer: r, file: t.file, subject: "template " + t.Name.text, declared: declared}
	templateResolver.resolveTemplate(t)
}

// renderAccount renders a. The key hashes in keys are those of the accounts before it; it adds a's own.
func (r *renderer) renderAccount(a Account, keys map[string]bool) entity.Account {
	if !yamlfile.IsName(a.ID.text) {
		r.addProblem(a.file, a.ID.line, "account %q: the id must be lower-case letters, digits, dots or hyphens", a.ID)
	}

	out := entity.Account{ID: entity.AccountID(a.ID.text)}

	if len(a.KeyHashes) == 0 {
		r.addProblem(a.file, a.ID.line, "account %s: key-hashes is missing", a.ID)
	}

	for _, hash := range a.KeyHashes {
		if !yamlfile.IsKeyHash(hash.text) {
			r.addProblem(a.file, hash.line, "account %s: a key hash must be the hex SHA-256 of a key: 64 lower-case hex digits", a.ID)
		}

		if keys[hash.text] {
			r.addProblem(a.file, hash.line, "account %s: the key hash is in use already", a.ID)
		}

		keys[hash.text] = true
		out.KeyHashes = append(out.KeyHashes, hash.text)
	}

	t, ok := r.templates[a.Template.text]
	if !ok {
		r.addProblem(a.file, a.Template.line, "account %s: there is no template %q; the templates are %s",
			a.ID, a.Template, strings.Join(slices.Sorted(maps.Keys(r.templates)), ", "))

		return out
	}

	accountResolver := &resolver{renderer: r, file: t.file, subject: "account " + a.ID.text, values: r.parameterValues(a, t)}
	out.Kinds, out.Limits = accountResolver.resolveTemplate(t)

	return out
}

// parameterValues returns the values of t's parameters for a, defaults included, and reports those that
// are missing, invalid or not declared by t.
func (r *renderer) parameterValues(a Account, t Template) map[string]Text {
	values := map[string]Text{}

	for _, p := range t.Parameters {
		value, found := a.Parameters[p.Name.text]

		switch {
		case found:
			if err := p.check(value.text); err != nil {
				r.addProblem(a.file, value.line, "account %s: parameter %s: %s", a.ID, p.Name, reason(err))
			}

			values[p.Name.text] = value
		case p.Default != nil:
			values[p.Name.text] = *p.Default
		default:
			r.addProblem(a.file, a.ID.line, "account %s: parameter %s (%s) is missing", a.ID, p.Name, p.Type)
		}
	}

	for _, name := range slices.Sorted(maps.Keys(a.Parameters)) {
		if _, ok := values[name]; !ok {
			r.addProblem(a.file, a.Parameters[name].line, "account %s: template %s has no parameter %q", a.ID, t.Name, name)
		}
	}

	return values
}

func (r *renderer) renderTarget(t Target) entity.Target {
	if !yamlfile.IsName(t.ID.text) {
		r.addProblem(t.file, t.ID.line, "target %q: the id must be lower-case letters, digits, dots or hyphens", t.ID)
	}

	if !yamlfile.IsAddress(t.Address.text) {
		r.addProblem(t.file, t.Address.line,
			"target %s: address %q must be an IP number and a port, for example 127.0.0.1:9001; a host name is not allowed", t.ID, t.Address)
	}

	out := entity.Target{
		ID:            entity.TargetID(t.ID.text),
		DataCentre:    entity.DataCentre(t.DataCentre),
		Address:       t.Address.text,
		Model:         entity.Model(t.Model),
		Service:       entity.ServiceName(t.Service),
		ChecksFencing: t.ChecksFencing,
		Gated:         t.Gated,
		Slots:         t.Slots,
		PrefillRate:   entity.Tokens(t.PrefillRate),
		DecodeRate:    entity.Tokens(t.DecodeRate),
		Leaving:       t.Leaving,
	}

	if t.Type == "service" {
		out.Type = entity.Service
	}

	if t.Role != "" {
		if err := out.Role.UnmarshalText([]byte(t.Role)); err != nil {
			r.addProblem(t.file, t.ID.line, "target %s: %v", t.ID, err)
		}
	}

	return out
}
