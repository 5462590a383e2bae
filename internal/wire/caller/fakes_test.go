package caller_test

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/dotterelflow/dotterelflow/internal/control/claims"
	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/control/ledger"
	"github.com/dotterelflow/dotterelflow/internal/entry/answers"
	"github.com/dotterelflow/dotterelflow/internal/entry/requests"
	"github.com/dotterelflow/dotterelflow/internal/wire/verdict"
)

// fakes implements the parts that a caller.Server depends on. Each part fails with its error if that is set.
type fakes struct {
	noConfiguration bool
	admission       *verdict.Error
	quarantine      *verdict.Error
	claim           *verdict.Error
	run             func(ctx context.Context, req entity.Request, ans *answers.Answer) // replaces the default behaviour of Run if set
}

func (f fakes) Current() *entity.Snapshot {
	if f.noConfiguration {
		return nil
	}

	kinds := map[entity.KindName]entity.Kind{}
	for _, k := range []entity.Kind{
		{Name: "chat", Model: "m"},
		{Name: "grade", Model: "m2", AtMostOnce: true},
		{Name: "twin-a", Model: "twin"},
		{Name: "twin-b", Model: "twin"},
		{Name: "hold", Service: "s", AtMostOnce: true},
		{Name: "look-up", Service: "t"},
		{Name: "brief", Service: "brief", Deadline: 300 * time.Millisecond},
	} {
		kinds[k.Name] = k
	}

	return entity.NewSnapshot(entity.Config{Generation: 1, Accounts: []entity.Account{
		{ID: "desk", KeyHashes: []string{entity.HashKey("desk-key")}, Kinds: kinds},
		{ID: "empty", KeyHashes: []string{entity.HashKey("empty-key")}},
	}})
}

func (f fakes) requests(clock clockwork.Clock) *requests.Service {
	return requests.New(requests.Options{
		Clock: clock, Host: "here", Runner: f, Router: f, Admission: f, Quarantine: f,
		Claims:  &fakeClaims{refusal: f.claim, held: map[claims.Key]claims.Record{}},
		Answers: answers.NewTable(answers.Options{Clock: clock}),
	})
}

func (f fakes) Pick(entity.Request, []entity.TargetID) (entity.Target, bool) {
	return entity.Target{}, false
}

func (f fakes) Check(entity.Request) error {
	if f.quarantine != nil {
		return f.quarantine
	}

	return nil
}

func (f fakes) Admit(context.Context, entity.Request) (func(*answers.Answer), error) {
	if f.admission != nil {
		return nil, f.admission
	}

	return func(*answers.Answer) {}, nil
}

// Run gives an answer that depends on the words in the request's body.
func (f fakes) Run(ctx context.Context, req entity.Request, ans *answers.Answer) {
	switch {
	case f.run != nil:
		f.run(ctx, req, ans)
	case req.Kind.Service != "":
		runService(req, ans)
	case bytes.Contains(req.Body, []byte("lost")):
		ans.Finish(verdict.New(verdict.MayHaveRun, verdict.CodeTargetLost, "engine-1 lost the request"))
	case bytes.Contains(req.Body, []byte("truncated")):
		ans.Append(event(req, "one "))
		ans.Append(event(req, "two "))
		ans.Finish(verdict.New(verdict.MayHaveRun, verdict.CodeTruncated, "answer of engine-1 broke off before event 2"))
	case bytes.Contains(req.Body, []byte("unreadable")):
		ans.Append([]byte(`{"choices":7}`))
		ans.Finish(nil)
	default:
		ans.Append(event(req, "one "))
		ans.Append(event(req, "two "))
		ans.Append(event(req, "three"))
		ans.Append(lastEvent(req))
		ans.Finish(nil)
	}
}

func runService(req entity.Request, ans *answers.Answer) {
	status := http.StatusOK
	if req.Path != "/hold" {
		status = http.StatusNotFound
	}

	ans.SetMeta(answers.Meta{Status: status, ContentType: "text/plain; charset=utf-8"})
	ans.Append(fmt.Appendf(nil, "%s of %q as %q", req.Path, req.Body, req.ContentType))
	ans.Finish(nil)
}

func isChat(req entity.Request) bool {
	return strings.Contains(req.Path, "chat")
}

func event(req entity.Request, word string) []byte {
	if isChat(req) {
		return fmt.Appendf(nil, `{"id":%q,"object":"chat.completion.chunk","created":1,"model":"m","choices":[{"index":0,"delta":{"role":"assistant","content":%q},"finish_reason":null}]}`, req.ID, word)
	}

	return fmt.Appendf(nil, `{"id":%q,"object":"text_completion","created":1,"model":"m","choices":[{"index":0,"text":%q,"finish_reason":null}]}`, req.ID, word)
}

func lastEvent(req entity.Request) []byte {
	const usage = `{"prompt_tokens":2,"completion_tokens":3,"total_tokens":5}`

	if isChat(req) {
		return fmt.Appendf(nil, `{"id":%q,"object":"chat.completion.chunk","created":1,"model":"m","choices":[{"index":0,"delta":{},"finish_reason":"stop"}],"usage":%s}`, req.ID, usage)
	}

	return fmt.Appendf(nil, `{"id":%q,"object":"text_completion","created":1,"model":"m","choices":[{"index":0,"text":"","finish_reason":"stop"}],"usage":%s}`, req.ID, usage)
}

// fakeClaims grants each key to its first claimant.
type fakeClaims struct {
	refusal *verdict.Error

	mu   sync.Mutex
	held map[claims.Key]claims.Record
}

func (c *fakeClaims) Claim(_ context.Context, req ledger.Request) (ledger.Outcome, error) {
	if c.refusal != nil {
		return ledger.Outcome{}, c.refusal
	}

	c.mu.Lock()
	defer c.mu.Unlock()

	if r, ok := c.held[req.Key]; ok {
		return ledger.Outcome{Record: r}, nil
	}

	r := claims.Record{Key: req.Key, Claimant: req.Claimant, Request: req.Request}
	c.held[req.Key] = r

	return ledger.Outcome{Mine: true, Record: r}, nil
}

func (c *fakeClaims) ClaimAt(ctx context.Context, _ entity.HostID, req ledger.Request) (ledger.Outcome, error) {
	return c.Claim(ctx, req)
}

func (c *fakeClaims) Finish(_ context.Context, r claims.Record, res claims.Result) error {
	c.mu.Lock()
	defer c.mu.Unlock()

	r.State, r.Result = claims.Done, res
	c.held[r.Key] = r

	return nil
}

func (c *fakeClaims) Lookup(_ context.Context, k claims.Key) (claims.Record, bool, error) {
	c.mu.Lock()
	defer c.mu.Unlock()

	r, ok := c.held[k]

	return r, ok, nil
}

func (c *fakeClaims) GiveUp(r claims.Record) error {
	c.mu.Lock()
	defer c.mu.Unlock()

	delete(c.held, r.Key)

	return nil
}

func (c *fakeClaims) Abandon(context.Context, claims.Record) error { return nil }
