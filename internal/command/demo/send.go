package demo

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/google/uuid"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/standin/engine"
	"github.com/dotterelflow/dotterelflow/internal/wire/caller"
)

const (
	outputTokens = 12
	maxShownText = 100
)

// result is the outcome of one request of the demo.
type result struct {
	deployment string
	account    entity.AccountID
	kind       entity.Kind
	took       time.Duration
	err        error
}

// sendAll sends one request of each kind of each account, to the entry hosts in turn, and prints the
// answers to w.
func (d *runningDeployment) sendAll(ctx context.Context, w io.Writer) []result {
	var results []result

	for _, account := range d.config.Accounts {
		for _, name := range slices.Sorted(maps.Keys(account.Kinds)) {
			kind := account.Kinds[name]
			address := d.hosts[len(results)%len(d.hosts)].CallerAddress()
			start := time.Now()
			text, err := send(ctx, address, account, kind)

			if err != nil {
				text = err.Error()
			}

			_, _ = fmt.Fprintf(w, "%s/%s: %.*s\n", account.ID, kind.Name, maxShownText, text)

			results = append(results, result{
				deployment: d.name, account: account.ID, kind: kind, took: time.Since(start), err: err,
			})
		}
	}

	return results
}

// bearerKey returns the key of a client account of the example deployments.
func bearerKey(account entity.Account) string {
	return "demo-" + string(account.ID)
}

// send sends one request of kind and returns the text of the answer. It fails if a model's answer is not
// the expected one.
func send(ctx context.Context, address string, account entity.Account, kind entity.Kind) (string, error) {
	if kind.Service != "" {
		return sendToService(ctx, address, account, kind)
	}

	prompt := fmt.Sprintf("%s for %s", kind.Name, account.ID)

	text, err := sendToEngine(ctx, address, account, kind, prompt)
	if err != nil {
		return "", err
	}

	// The stand-in engine derives its answer from the prompt, so this detects truncated answers and those
	// to another request.
	if want := engine.Answer("\n"+prompt, outputTokens); text != want {
		return "", Error.New("got the answer %q, want %q", text, want)
	}

	return text, nil
}

// sendToEngine streams a chat completion through the unmodified OpenAI client library. It fails if the
// stream breaks off or its finish reason is not "stop".
func sendToEngine(ctx context.Context, address string, account entity.Account, kind entity.Kind, prompt string) (string, error) {
	client := openai.NewClient(
		option.WithBaseURL("http://"+address+"/v1/"), option.WithAPIKey(bearerKey(account)), option.WithMaxRetries(0),
		option.WithHeader(caller.HeaderKind, string(kind.Name)), option.WithHeader(caller.HeaderKey, newIdempotencyKey()),
	)

	stream := client.Chat.Completions.NewStreaming(ctx, openai.ChatCompletionNewParams{
		Model:               openai.ChatModel(kind.Model),
		MaxCompletionTokens: openai.Int(outputTokens),
		Messages:            []openai.ChatCompletionMessageParamUnion{openai.UserMessage(prompt)},
	})
	defer func() { _ = stream.Close() }()

	var acc openai.ChatCompletionAccumulator
	for stream.Next() {
		acc.AddChunk(stream.Current())
	}

	if err := stream.Err(); err != nil {
		return "", Error.Wrap(err)
	}

	if len(acc.Choices) != 1 || acc.Choices[0].FinishReason != "stop" {
		return "", Error.New("the stream ended without a finish reason")
	}

	return acc.Choices[0].Message.Content, nil
}

// sendToService posts a small JSON body to the kind's service and returns the answer. It fails for a status other than
// 200.
func sendToService(ctx context.Context, address string, account entity.Account, kind entity.Kind) (string, error) {
	url := fmt.Sprintf("http://%s/v1/services/%s/%s", address, kind.Service, kind.Name)
	body := fmt.Appendf(nil, `{"kind":%q}`, kind.Name)

	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return "", Error.Wrap(err)
	}

	r.GetBody = nil
	r.Header.Set("Authorization", "Bearer "+bearerKey(account))
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set(caller.HeaderKind, string(kind.Name))
	r.Header.Set(caller.HeaderKey, newIdempotencyKey())

	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return "", Error.Wrap(err)
	}

	defer func() { _ = resp.Body.Close() }()

	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return "", Error.Wrap(err)
	}

	if resp.StatusCode != http.StatusOK {
		return "", Error.New("status %d: %s", resp.StatusCode, text)
	}

	return string(bytes.TrimSpace(text)), nil
}

func newIdempotencyKey() string {
	return uuid.Must(uuid.NewV7()).String()
}
