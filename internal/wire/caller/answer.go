package caller

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/kataras/iris/v12"
	"github.com/openai/openai-go/v3"

	"github.com/dotterelflow/dotterelflow/internal/control/table"
	"github.com/dotterelflow/dotterelflow/internal/entry/answers"
	"github.com/dotterelflow/dotterelflow/internal/wire/engine"
	"github.com/dotterelflow/dotterelflow/internal/wire/verdict"
)

// stream passes the answer's events on as server-sent events. A stream that cannot be made whole
// ends with an "error" event that holds a problem document, never with a clean close.
func (s *Server) stream(ctx iris.Context, req table.Request, ans *answers.Answer) {
	var (
		w      = ctx.ResponseWriter()
		rc     = http.NewResponseController(w)
		events int
		first  time.Duration
	)

	err := ans.Read(ctx.Request().Context(), resumeFrom(ctx.Request()), func(seq uint64, data []byte) error {
		if events == 0 {
			first = s.opts.Clock.Since(req.Arrived)

			startStream(w)
		}

		events++

		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", seq, data); err != nil {
			return err
		}

		return rc.Flush()
	})

	problem := verdict.From(err)
	s.observe(req, problem, first, events)

	switch {
	case problem == nil:
		if events == 0 {
			startStream(w)
		}

		_, _ = fmt.Fprintf(w, "data: %s\n\n", engine.Done)
	case events == 0:
		writeProblem(w, problem, string(req.ID))
	default:
		doc, _ := json.Marshal(newProblem(problem, string(req.ID)))
		_, _ = fmt.Fprintf(w, "event: error\ndata: {\"error\":%s}\n\n", doc)
	}
}

func startStream(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(http.StatusOK)
}

// whole waits for the answer and sends it as one document.
func (s *Server) whole(ctx iris.Context, req table.Request, ans *answers.Answer) {
	events, err := ans.Wait(ctx.Request().Context())
	if err != nil {
		s.fail(ctx, req, verdict.From(err))

		return
	}

	doc, err := collect(req.Path, events)
	if err != nil {
		s.fail(ctx, req, verdict.New(verdict.Ran, verdict.CodeTruncated, "the engine's answer could not be read").Because(err))

		return
	}

	s.observe(req, nil, s.opts.Clock.Since(req.Arrived), len(events))
	ctx.ContentType("application/json")
	_, _ = ctx.ResponseWriter().Write(doc)
}

// passThrough waits for a service's answer and sends it as it is.
func (s *Server) passThrough(ctx iris.Context, req table.Request, ans *answers.Answer) {
	events, err := ans.Wait(ctx.Request().Context())
	if err != nil {
		s.fail(ctx, req, verdict.From(err))

		return
	}

	s.observe(req, nil, s.opts.Clock.Since(req.Arrived), len(events))

	meta := ans.Meta()
	if meta.ContentType != "" {
		ctx.ContentType(meta.ContentType)
	}

	ctx.StatusCode(max(meta.Status, http.StatusOK))

	for _, data := range events {
		_, _ = ctx.ResponseWriter().Write(data)
	}
}

// collect joins the events of a streamed answer into the document of a call that does not stream.
func collect(path string, events [][]byte) ([]byte, error) {
	if strings.HasSuffix(path, "/chat/completions") {
		return collectChat(events)
	}

	return collectText(events)
}

func collectChat(events [][]byte) ([]byte, error) {
	var acc openai.ChatCompletionAccumulator

	for _, data := range events {
		var chunk openai.ChatCompletionChunk
		if err := json.Unmarshal(data, &chunk); err != nil {
			return nil, err
		}

		acc.AddChunk(chunk)
	}

	acc.Object = "chat.completion"

	return json.Marshal(acc.ChatCompletion)
}

// textChunk is the part of a text completion's event that is joined.
type textChunk struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Created int64        `json:"created"`
	Model   table.Model  `json:"model"`
	Choices []textChoice `json:"choices"`
	Usage   any          `json:"usage,omitempty"`
}

type textChoice struct {
	Index        int     `json:"index"`
	Text         string  `json:"text"`
	FinishReason *string `json:"finish_reason"`
}

func collectText(events [][]byte) ([]byte, error) {
	var (
		whole textChunk
		text  strings.Builder
		done  *string
	)

	for _, data := range events {
		var chunk textChunk
		if err := json.Unmarshal(data, &chunk); err != nil {
			return nil, err
		}

		for _, choice := range chunk.Choices {
			text.WriteString(choice.Text)

			if choice.FinishReason != nil {
				done = choice.FinishReason
			}
		}

		usage := whole.Usage
		whole = chunk

		if whole.Usage == nil {
			whole.Usage = usage
		}
	}

	whole.Choices = []textChoice{{Text: text.String(), FinishReason: done}}

	return json.Marshal(whole)
}
