package loadgen

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

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/measure/trace"
	"github.com/dotterelflow/dotterelflow/internal/standin/engine"
	"github.com/dotterelflow/dotterelflow/internal/wire/caller"
)

const (
	bytesPerToken  = 4 // bytes of prompt text for each prompt token
	maxAnswerBytes = 8 << 20
	endOfStream    = "[DONE]"
)

// call is one request to send.
type call struct {
	address string // ip:port of the entry host
	bearer  string
	kind    trace.Kind
	prompt  string
	tokens  int // output tokens to request
}

// outcome is the result of one request.
type outcome struct {
	whole   bool          // the answer is complete and has the expected content
	wrong   bool          // the answer is complete and has other content
	problem string        // reason for the failure; empty for a whole answer
	first   time.Duration // time until the first token, or until the end of an answer that is not a stream
	total   time.Duration // time until the end
	tokens  int           // output tokens
}

// good reports whether the answer is whole and within the objective.
func (o outcome) good(objective entity.Objective) bool {
	return o.whole && within(o.first, objective.FirstToken) && within(o.between(), objective.BetweenTokens) &&
		within(o.total, objective.Total)
}

// within reports whether got is at most bound; a bound of zero means no limit.
func within(got, bound time.Duration) bool {
	return bound == 0 || got <= bound
}

// between returns the mean time between tokens, or zero for fewer than two tokens.
func (o outcome) between() time.Duration {
	if o.tokens < 2 {
		return 0
	}

	return (o.total - o.first) / time.Duration(o.tokens-1)
}

// promptOf returns a prompt of about the arrival's length, which is unique to the arrival and the run. The prompts of
// arrivals with the same prefix start with the same text.
func promptOf(run string, a trace.Arrival) string {
	shared := ""
	if a.Prefix != 0 {
		shared = padded(fmt.Sprintf("prefix %d ", a.Prefix), int(a.PrefixTokens)*bytesPerToken)
	}

	return padded(fmt.Sprintf("%srun %s request %s ", shared, run, a.Request), int(a.Prefill)*bytesPerToken)
}

// padded returns text, extended to about size bytes.
func padded(text string, size int) string {
	return text + strings.Repeat("word ", max(0, size-len(text))/len("word "))
}

// request builds the HTTP request. At-most-once kinds get a new idempotency key.
func (c call) request(ctx context.Context) (*http.Request, error) {
	path, body := "/v1/services/"+string(c.kind.Service)+"/"+string(c.kind.Name), []byte(c.prompt)

	if c.kind.Service == "" {
		var err error

		path = "/v1/completions"

		body, err = json.Marshal(map[string]any{"model": c.kind.Model, "prompt": c.prompt, "max_tokens": c.tokens, "stream": true})
		if err != nil {
			return nil, Error.Wrap(err)
		}
	}

	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.address+path, bytes.NewReader(body))
	if err != nil {
		return nil, Error.Wrap(err)
	}

	r.GetBody = nil // keeps the transport from sending the request again after a connection error
	r.Header.Set("Authorization", "Bearer "+c.bearer)
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set(caller.HeaderKind, string(c.kind.Name))

	if c.kind.AtMostOnce {
		key, err := uuid.NewV7()
		if err != nil {
			return nil, Error.Wrap(err)
		}

		r.Header.Set(caller.HeaderKey, key.String())
	}

	return r, nil
}

// send sends c once and reads its answer to the end.
func (c call) send(ctx context.Context, client *http.Client) outcome {
	r, err := c.request(ctx)
	if err != nil {
		return outcome{problem: err.Error()}
	}

	start := time.Now()

	resp, err := client.Do(r)
	if err != nil {
		return outcome{problem: failureReason(ctx)}
	}

	defer func() { _ = resp.Body.Close() }()

	body := io.LimitReader(resp.Body, maxAnswerBytes)

	var out outcome

	switch {
	case resp.StatusCode != http.StatusOK:
		out = refusalOutcome(body, resp.StatusCode)
	case c.kind.Service != "":
		out = c.readService(ctx, body)
	default:
		out = c.readStream(ctx, body, start)
	}

	out.total = time.Since(start)
	if out.first == 0 {
		out.first = out.total
	}

	return out
}

// failureReason returns the reason for a failed read or write: the end of ctx or a lost connection.
func failureReason(ctx context.Context) string {
	if ctx.Err() != nil {
		return "no answer in time"
	}

	return "connection lost"
}

// refusalOutcome returns the outcome of an answer with an error status, whose body is usually a problem document.
func refusalOutcome(body io.Reader, status int) outcome {
	var p caller.Problem
	if json.NewDecoder(body).Decode(&p) != nil || p.Code == "" {
		return outcome{problem: fmt.Sprintf("status %d", status)}
	}

	return outcome{problem: fmt.Sprintf("%s, %s", p.Verdict, p.Code)}
}

// readService reads a service's answer, which repeats the request.
func (c call) readService(ctx context.Context, body io.Reader) outcome {
	var answer struct {
		Received string `json:"received"`
	}

	if err := json.NewDecoder(body).Decode(&answer); err != nil {
		return outcome{problem: failureReason(ctx)}
	}

	return answerOutcome(answer.Received == c.prompt, 1)
}

// readStream reads a model's answer, a stream of server-sent events with one token each. start is the time at
// which the request was sent.
func (c call) readStream(ctx context.Context, body io.Reader, start time.Time) outcome {
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
			return streamErrorOutcome(ev.Data)
		}

		if ev.Data == endOfStream {
			out := answerOutcome(text.String() == engine.Answer(c.prompt, c.tokens), tokens)
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

	return outcome{problem: failureReason(ctx) + " in the middle of the answer"}
}

// answerOutcome returns the outcome of a complete answer; expected says whether it has the expected content.
func answerOutcome(expected bool, tokens int) outcome {
	if !expected {
		return outcome{wrong: true, problem: "wrong answer", tokens: tokens}
	}

	return outcome{whole: true, tokens: tokens}
}

// streamErrorOutcome returns the outcome of a stream that ends with an error event with these data.
func streamErrorOutcome(data string) outcome {
	var event struct {
		Error caller.Problem `json:"error"`
	}

	if json.Unmarshal([]byte(data), &event) != nil {
		return outcome{problem: "malformed error event"}
	}

	return outcome{problem: fmt.Sprintf("%s, %s", event.Error.Verdict, event.Error.Code)}
}

// textOf returns the text of a completion chunk, or "" if it has none or is malformed.
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
