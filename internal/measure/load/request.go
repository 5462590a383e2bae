package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/tmaxmax/go-sse"

	"github.com/dotterelflow/dotterelflow/internal/control/table"
	"github.com/dotterelflow/dotterelflow/internal/measure/trace"
	"github.com/dotterelflow/dotterelflow/internal/standin/engine"
	"github.com/dotterelflow/dotterelflow/internal/wire/caller"
)

const (
	tokenBytes = 4 // of a prompt, for each token
	maxAnswer  = 8 << 20
	endOfData  = "[DONE]"
)

// work is one request to be sent.
type work struct {
	address string
	bearer  string
	kind    trace.Kind
	prompt  string
	tokens  int
}

// outcome is how a request ended.
type outcome struct {
	whole   bool   // the answer is complete and the one that the target gives to this request
	wrong   bool   // an answer that calls itself complete is another one
	problem string // verdict and code of a failure, or what broke the connection
	first   time.Duration
	total   time.Duration
	tokens  int
}

// good reports whether the answer is whole and within the objective.
func (o outcome) good(want table.Objective) bool {
	return o.whole && within(o.first, want.FirstToken) && within(o.between(), want.BetweenTokens) && within(o.total, want.Total)
}

func within(got, bound time.Duration) bool {
	return bound == 0 || got <= bound
}

// between returns the mean time between tokens; zero for an answer of one.
func (o outcome) between() time.Duration {
	if o.tokens < 2 {
		return 0
	}

	return (o.total - o.first) / time.Duration(o.tokens-1)
}

// promptOf returns a text of about the arrival's length that no other arrival has. Arrivals that
// share a prefix begin alike.
func promptOf(run string, a trace.Arrival) string {
	shared := ""
	if a.Prefix != 0 {
		shared = padded(fmt.Sprintf("prefix %d ", a.Prefix), int(a.PrefixTokens)*tokenBytes)
	}

	return padded(fmt.Sprintf("%srun %s request %s ", shared, run, a.Request), int(a.Prefill)*tokenBytes)
}

func padded(text string, size int) string {
	return text + strings.Repeat("word ", max(0, size-len(text))/len("word "))
}

func (w work) request(ctx context.Context) (*http.Request, error) {
	path, body := "/v1/services/"+string(w.kind.Service)+"/"+string(w.kind.Name), []byte(w.prompt)

	if w.kind.Service == "" {
		var err error

		path = "/v1/completions"

		body, err = json.Marshal(map[string]any{"model": w.kind.Model, "prompt": w.prompt, "max_tokens": w.tokens, "stream": true})
		if err != nil {
			return nil, Error.Wrap(err)
		}
	}

	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+w.address+path, bytes.NewReader(body))
	if err != nil {
		return nil, Error.Wrap(err)
	}

	r.GetBody = nil // a request that broke off is not sent again
	r.Header.Set("Authorization", "Bearer "+w.bearer)
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set(caller.HeaderKind, string(w.kind.Name))

	if w.kind.AtMostOnce {
		key, err := uuid.NewV7()
		if err != nil {
			return nil, Error.Wrap(err)
		}

		r.Header.Set(caller.HeaderKey, key.String())
	}

	return r, nil
}

// send sends w once and reads its answer to the end.
func (w work) send(ctx context.Context, client *http.Client) outcome {
	r, err := w.request(ctx)
	if err != nil {
		return outcome{problem: err.Error()}
	}

	start := time.Now()

	resp, err := client.Do(r)
	if err != nil {
		return outcome{problem: broken(ctx)}
	}

	defer func() { _ = resp.Body.Close() }()

	body := io.LimitReader(resp.Body, maxAnswer)

	var out outcome

	switch {
	case resp.StatusCode != http.StatusOK:
		out = refused(body, resp.StatusCode)
	case w.kind.Service != "":
		out = w.readService(ctx, body)
	default:
		out = w.readStream(ctx, body, start)
	}

	out.total = time.Since(start)
	if out.first == 0 {
		out.first = out.total
	}

	return out
}

// broken says why no further answer came.
func broken(ctx context.Context) string {
	if ctx.Err() != nil {
		return "no answer in time"
	}

	return "connection lost"
}

func refused(body io.Reader, status int) outcome {
	var p caller.Problem
	if json.NewDecoder(body).Decode(&p) != nil || p.Code == "" {
		return outcome{problem: fmt.Sprintf("status %d", status)}
	}

	return outcome{problem: fmt.Sprintf("%s, %s", p.Verdict, p.Code)}
}

func (w work) readService(ctx context.Context, body io.Reader) outcome {
	var answer struct {
		Received string `json:"received"`
	}

	if err := json.NewDecoder(body).Decode(&answer); err != nil {
		return outcome{problem: broken(ctx)}
	}

	return judge(answer.Received == w.prompt, 1)
}

func (w work) readStream(ctx context.Context, body io.Reader, start time.Time) outcome {
	var (
		text   strings.Builder
		first  time.Duration
		tokens int
	)

	for ev, err := range sse.Read(body, nil) {
		if err != nil {
			break
		}

		if ev.Type == "error" {
			return failed(ev.Data)
		}

		if ev.Data == endOfData {
			out := judge(text.String() == engine.Answer(w.prompt, w.tokens), tokens)
			out.first = first

			return out
		}

		part := textOf(ev.Data)
		if part == "" {
			continue
		}

		if tokens == 0 {
			first = time.Since(start)
		}

		tokens++

		text.WriteString(part)
	}

	return outcome{problem: broken(ctx) + " within the answer"}
}

// judge returns the outcome of an answer that calls itself complete.
func judge(right bool, tokens int) outcome {
	if !right {
		return outcome{wrong: true, problem: "wrong answer", tokens: tokens}
	}

	return outcome{whole: true, tokens: tokens}
}

// failed reads the problem that ends a stream.
func failed(data string) outcome {
	var event struct {
		Error caller.Problem `json:"error"`
	}

	if json.Unmarshal([]byte(data), &event) != nil {
		return outcome{problem: "unreadable problem"}
	}

	return outcome{problem: fmt.Sprintf("%s, %s", event.Error.Verdict, event.Error.Code)}
}

func textOf(data string) string {
	var chunk struct {
		Choices []struct {
			Text string `json:"text"`
		} `json:"choices"`
	}

	if json.Unmarshal([]byte(data), &chunk) != nil || len(chunk.Choices) == 0 {
		return ""
	}

	return chunk.Choices[0].Text
}
