package caller

import (
	"net/http"

	"github.com/kataras/iris/v12"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/entry/answers"
	"github.com/dotterelflow/dotterelflow/internal/wire/verdict"
)

// maxStatus is the highest status of a service that is passed on to the caller.
const maxStatus = 599

// writeWhole waits until the answer is complete and writes it as one JSON document.
func (s *Server) writeWhole(ctx iris.Context, req entity.Request, ans *answers.Answer) {
	events, err := ans.Wait(ctx.Request().Context())
	if err != nil {
		s.fail(ctx, req, verdict.From(err))

		return
	}

	doc, err := collect(req.Path, events)
	if err != nil {
		s.fail(ctx, req, verdict.New(verdict.Ran, verdict.CodeTruncated, "the engine's answer could not be read").WithCause(err))

		return
	}

	s.observe(req, nil, s.opts.Clock.Since(req.Arrived), len(events))
	ctx.ContentType("application/json")

	defer s.limitWriteTime(ctx, req)()

	_, _ = ctx.ResponseWriter().Write(doc)
}

// writeServiceAnswer waits for a service's answer and writes it unchanged.
func (s *Server) writeServiceAnswer(ctx iris.Context, req entity.Request, ans *answers.Answer) {
	events, err := ans.Wait(ctx.Request().Context())
	if err != nil {
		s.fail(ctx, req, verdict.From(err))

		return
	}

	meta := ans.Meta()
	if meta.Status != 0 && (meta.Status < http.StatusOK || meta.Status > maxStatus) {
		s.fail(ctx, req, verdict.New(verdict.Ran, verdict.CodeTruncated, "the service answered with the invalid status %d", meta.Status))

		return
	}

	s.observe(req, nil, s.opts.Clock.Since(req.Arrived), len(events))

	if meta.ContentType != "" {
		ctx.ContentType(meta.ContentType)
	}

	ctx.StatusCode(max(meta.Status, http.StatusOK))

	defer s.limitWriteTime(ctx, req)()

	for _, data := range events {
		_, _ = ctx.ResponseWriter().Write(data)
	}
}
