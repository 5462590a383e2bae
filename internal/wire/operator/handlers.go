package operator

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	"github.com/kataras/iris/v12"

	"github.com/dotterelflow/dotterelflow/internal/control/configuration"
	"github.com/dotterelflow/dotterelflow/internal/control/document"
	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/site/yamlfile"
)

const (
	maxFiles = 100
	diffID   = "diff-only"
)

// kinds are the item kinds that operators can list.
var kinds = []configuration.Kind{configuration.Deployment, configuration.Template, configuration.Account, configuration.Target}

// kindParam returns the item kind that the path of c names.
func kindParam(c iris.Context) (configuration.Kind, error) {
	kind := configuration.Kind(c.Params().Get("kind"))
	if !slices.Contains(kinds, kind) {
		return "", newProblem(http.StatusNotFound, CodeNotFound, "unknown item kind %q; it must be one of %v", kind, kinds)
	}

	return kind, nil
}

func (h *handlers) list(c iris.Context) {
	kind, err := kindParam(c)
	if err != nil {
		h.fail(c, err)

		return
	}

	contents := h.backend.Contents()
	result := ItemList{Generation: contents.Generation(), Items: []Item{}}

	for _, i := range contents.Items(kind) {
		result.Items = append(result.Items, Item{Ref: i.Ref, Generation: i.Generation})
	}

	h.answer(c, result, nil)
}

func (h *handlers) item(c iris.Context) {
	kind, err := kindParam(c)
	if err != nil {
		h.fail(c, err)

		return
	}

	contents := h.backend.Contents()
	ref := configuration.Ref{Kind: kind, Name: c.Params().Get("name")}

	i, ok := contents.Item(ref)
	if !ok {
		h.fail(c, newProblem(http.StatusNotFound, CodeNotFound, "there is no %s", ref))

		return
	}

	item := Item{Ref: i.Ref, Generation: i.Generation, YAML: i.YAML()}
	h.answer(c, ItemList{Generation: contents.Generation(), Items: []Item{item}}, nil)
}

// readEdit decodes the body of c and returns it with the edit that it describes.
func (h *handlers) readEdit(c iris.Context) (EditRequest, configuration.Edit, error) {
	var r EditRequest
	if err := h.read(c, &r); err != nil {
		return r, configuration.Edit{}, err
	}

	if len(r.Files) > maxFiles {
		return r, configuration.Edit{}, newProblem(http.StatusBadRequest, CodeBadRequest, "an edit can have at most %d files", maxFiles)
	}

	e := configuration.Edit{ID: r.ID, Base: r.Base}

	for _, f := range r.Files {
		d, err := document.Parse(f.Name, []byte(f.Text))
		if err != nil {
			return r, e, err
		}

		changes, err := configuration.ChangesOf(d)
		if err != nil {
			return r, e, err
		}

		e.Changes = append(e.Changes, changes...)
	}

	for _, ref := range r.Delete {
		e.Changes = append(e.Changes, configuration.Change{Ref: ref})
	}

	return r, e, nil
}

// locate returns err, the reason that e was refused, with file and line added if the fault is in the files of r.
func (h *handlers) locate(r EditRequest, e configuration.Edit, err error) error {
	var invalid *yamlfile.InvalidError
	if !errors.As(err, &invalid) {
		return err
	}

	d := h.backend.Contents().DocumentWithout(e)

	for _, f := range r.Files {
		part, err := document.Parse(f.Name, []byte(f.Text))
		if err != nil {
			return err
		}

		if err := d.Add(part); err != nil {
			return newProblem(http.StatusUnprocessableEntity, CodeInvalid, "%v", err)
		}
	}

	if _, invalidErr := d.Config(); invalidErr != nil {
		return invalidErr
	}

	return err
}

func (h *handlers) diff(c iris.Context) {
	r, e, err := h.readEdit(c)
	if err != nil {
		h.fail(c, err)

		return
	}

	// A diff is not stored, so its request needs no id; the edit itself must have one.
	e.ID = diffID

	text, err := h.backend.Contents().Diff(e)
	h.answer(c, DiffResult{Base: e.Base, Diff: text}, h.locate(r, e, err))
}

func (h *handlers) apply(c iris.Context) {
	r, e, err := h.readEdit(c)
	if err != nil {
		h.fail(c, err)

		return
	}

	ctx, cancel := context.WithTimeout(c.Request().Context(), h.opts.ApplyTimeout)
	defer cancel()

	g, err := h.backend.Apply(ctx, e)
	if err != nil {
		h.fail(c, h.locate(r, e, err))

		return
	}

	hosts, err := h.waitForHosts(c.Request().Context(), g, min(time.Duration(r.Wait), maxWait))
	h.answer(c, EditResult{Generation: g, Unconfirmed: hosts}, err)
}

// waitForHosts waits until all hosts have generation g or a later one, for at most wait, and returns the hosts that
// still have an older one.
func (h *handlers) waitForHosts(ctx context.Context, g entity.Generation, wait time.Duration) ([]Host, error) {
	for end := h.opts.Clock.Now().Add(wait); ; {
		status, err := h.backend.Status(ctx)
		if err != nil {
			return nil, err
		}

		behind := slices.DeleteFunc(slices.Clone(status.Hosts), func(host Host) bool { return host.Generation >= g })
		if len(behind) == 0 || !h.opts.Clock.Now().Before(end) {
			return behind, nil
		}

		select {
		case <-ctx.Done():
			return behind, nil
		case <-h.opts.Clock.After(confirmPollInterval):
		}
	}
}

func (h *handlers) plans(c iris.Context) {
	plans, err := h.backend.Plans(c.Request().Context())
	h.answer(c, PlanList{Plans: append([]Plan{}, plans...)}, err)
}

func (h *handlers) declare(c iris.Context) {
	var p Plan
	if err := h.read(c, &p); err != nil {
		h.fail(c, err)

		return
	}

	if err := h.checkPlan(p); err != nil {
		h.fail(c, err)

		return
	}

	declared, err := h.backend.Declare(c.Request().Context(), p)
	h.answer(c, declared, err)
}

// checkPlan returns a problem if p is not a valid plan for an existing target.
func (h *handlers) checkPlan(p Plan) error {
	refuse := func(format string, args ...any) error {
		return newProblem(http.StatusUnprocessableEntity, CodeInvalid, format, args...)
	}

	exists := func(id entity.TargetID) bool {
		_, ok := h.backend.Contents().Item(configuration.Ref{Kind: configuration.Target, Name: string(id)})

		return ok
	}

	switch {
	case !configuration.EditID(p.ID).Valid():
		return refuse("the plan's id must have 8 to 64 letters, digits or hyphens")
	case !slices.Contains([]Action{Drain, Replace, Withdraw, Role}, p.Action):
		return refuse("unknown action %q; it must be drain, replace, withdraw or role", p.Action)
	case !exists(p.Target):
		return refuse("there is no target %q", p.Target)
	case (p.Action == Replace) != (p.Replacement != ""):
		return refuse("the field \"with\" is required for the action replace and not allowed for others")
	case p.Replacement != "" && (p.Replacement == p.Target || !exists(p.Replacement)):
		return refuse("%q cannot replace %s; it must be another existing target", p.Replacement, p.Target)
	case (p.Action == Role) != (p.Role != nil):
		return refuse("the field \"role\" is required for the action role and not allowed for others")
	}

	return nil
}

func (h *handlers) cancel(c iris.Context) {
	err := h.backend.Cancel(c.Request().Context(), c.Params().Get("id"))
	h.answer(c, struct{}{}, err)
}

func (h *handlers) status(c iris.Context) {
	status, err := h.backend.Status(c.Request().Context())
	h.answer(c, status, err)
}

func (h *handlers) burn(c iris.Context) {
	report, err := h.backend.Burn(c.Request().Context())
	h.answer(c, report, err)
}
