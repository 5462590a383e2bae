package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/dotterelflow/dotterelflow/internal/control/configuration"
)

const (
	defaultTimeout = 90 * time.Second // longer than the server's limits on an edit and on the wait for hosts together
	maxAnswerBytes = 64 << 20
)

// ErrUnreachable means that no valid answer arrived. The requested change may have been made.
var ErrUnreachable = Error.New("no answer from the entry host")

// ClientOptions configures a Client. The zero value selects the defaults.
type ClientOptions struct {
	Timeout time.Duration // limit on each call; zero means 90 s
}

// Client calls the operators' API of one entry host. It is safe for concurrent use. An error response is returned as
// a *ProblemError; a call without a valid answer fails with ErrUnreachable.
type Client struct {
	base string
	key  string
	http *http.Client
}

// NewClient returns a Client for the entry host at address, an ip:port. key is the operators' bearer key.
func NewClient(address, key string, opts ClientOptions) *Client {
	if opts.Timeout == 0 {
		opts.Timeout = defaultTimeout
	}

	return &Client{base: "http://" + address + "/v1", key: key, http: &http.Client{Timeout: opts.Timeout}}
}

// Items lists the items of a kind, without their YAML.
func (c *Client) Items(ctx context.Context, kind configuration.Kind) (ItemList, error) {
	return call[ItemList](ctx, c, http.MethodGet, "/items/"+url.PathEscape(string(kind)), nil)
}

// Item returns one item with its YAML, and the generation to use as the base of an edit.
func (c *Client) Item(ctx context.Context, r configuration.Ref) (ItemList, error) {
	return call[ItemList](ctx, c, http.MethodGet, "/items/"+url.PathEscape(string(r.Kind))+"/"+url.PathEscape(r.Name), nil)
}

// Apply makes an edit. After CodeUnsettled or ErrUnreachable the edit may or may not be made; send the same request
// again to get its result.
func (c *Client) Apply(ctx context.Context, r EditRequest) (EditResult, error) {
	return call[EditResult](ctx, c, http.MethodPost, "/edits", r)
}

// Diff returns what an edit would change, without making it.
func (c *Client) Diff(ctx context.Context, r EditRequest) (DiffResult, error) {
	return call[DiffResult](ctx, c, http.MethodPost, "/diff", r)
}

// Plans lists the plans.
func (c *Client) Plans(ctx context.Context) (PlanList, error) {
	return call[PlanList](ctx, c, http.MethodGet, "/plans", nil)
}

// Declare declares a plan. It is safe to repeat: a plan with the same ID is declared only once.
func (c *Client) Declare(ctx context.Context, p Plan) (Plan, error) {
	return call[Plan](ctx, c, http.MethodPost, "/plans", p)
}

// Cancel cancels the plan id.
func (c *Client) Cancel(ctx context.Context, id string) error {
	_, err := call[struct{}](ctx, c, http.MethodDelete, "/plans/"+url.PathEscape(id), nil)

	return err
}

// Status returns the state of the system as the entry host sees it.
func (c *Client) Status(ctx context.Context) (Status, error) {
	return call[Status](ctx, c, http.MethodGet, "/status", nil)
}

// Burn returns the report on how fast the accounts use up their service-level error budgets, as JSON.
func (c *Client) Burn(ctx context.Context) (json.RawMessage, error) {
	return call[json.RawMessage](ctx, c, http.MethodGet, "/burn", nil)
}

// call sends body as JSON, without a body if it is nil, and decodes the answer.
func call[T any](ctx context.Context, c *Client, method, path string, body any) (T, error) {
	var result T

	var content io.Reader

	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return result, Error.Wrap(err)
		}

		content = bytes.NewReader(data)
	}

	r, err := http.NewRequestWithContext(ctx, method, c.base+path, content)
	if err != nil {
		return result, Error.Wrap(err)
	}

	r.Header.Set("Authorization", "Bearer "+c.key)

	resp, err := c.http.Do(r)
	if err != nil {
		return result, errors.Join(ErrUnreachable, err)
	}

	defer func() { _ = resp.Body.Close() }()

	dec := json.NewDecoder(io.LimitReader(resp.Body, maxAnswerBytes))

	if resp.StatusCode != http.StatusOK {
		p := &ProblemError{Status: resp.StatusCode, Code: CodeInternal, Detail: resp.Status}
		_ = dec.Decode(p) // if the answer is not a problem document, Detail stays the status line

		return result, p
	}

	if err := dec.Decode(&result); err != nil {
		return result, errors.Join(ErrUnreachable, err)
	}

	return result, nil
}
