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
	defaultTimeout = 90 * time.Second // longer than an edit that waits for its hosts
	maxAnswerBytes = 64 << 20
)

// ErrUnreachable says that no answer came; a change may have been made.
var ErrUnreachable = Error.New("no answer from the entry host")

// ClientOptions tune a Client. The zero value works.
type ClientOptions struct {
	Timeout time.Duration // of each call; zero means 90 s
}

// Client calls the operators' API of one entry host. It is safe for concurrent use. An error
// answer is returned as a *ProblemError; a call without an answer fails with ErrUnreachable.
type Client struct {
	base string
	key  string
	http *http.Client
}

// NewClient returns a Client of the entry host at address, an ip:port.
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

// Item returns one item and the generation to edit it against.
func (c *Client) Item(ctx context.Context, r configuration.Ref) (ItemList, error) {
	return call[ItemList](ctx, c, http.MethodGet, "/items/"+url.PathEscape(string(r.Kind))+"/"+url.PathEscape(r.Name), nil)
}

// Apply makes an edit. After CodeUnsettled or ErrUnreachable, the same request settles it.
func (c *Client) Apply(ctx context.Context, r EditRequest) (EditResult, error) {
	return call[EditResult](ctx, c, http.MethodPost, "/edits", r)
}

// Diff returns what an edit would change.
func (c *Client) Diff(ctx context.Context, r EditRequest) (DiffResult, error) {
	return call[DiffResult](ctx, c, http.MethodPost, "/diff", r)
}

// Plans lists the plans.
func (c *Client) Plans(ctx context.Context) (PlanList, error) {
	return call[PlanList](ctx, c, http.MethodGet, "/plans", nil)
}

// Declare declares a plan; sent again with the same ID, it is declared once.
func (c *Client) Declare(ctx context.Context, p Plan) (Plan, error) {
	return call[Plan](ctx, c, http.MethodPost, "/plans", p)
}

// Cancel ends a plan.
func (c *Client) Cancel(ctx context.Context, id string) error {
	_, err := call[struct{}](ctx, c, http.MethodDelete, "/plans/"+url.PathEscape(id), nil)

	return err
}

// Status returns what the entry host knows of the system.
func (c *Client) Status(ctx context.Context) (Status, error) {
	return call[Status](ctx, c, http.MethodGet, "/status", nil)
}

// Burn returns the report on service-level burn.
func (c *Client) Burn(ctx context.Context) (json.RawMessage, error) {
	return call[json.RawMessage](ctx, c, http.MethodGet, "/burn", nil)
}

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
		_ = dec.Decode(p) // an answer that is no problem document keeps the status line

		return result, p
	}

	if err := dec.Decode(&result); err != nil {
		return result, errors.Join(ErrUnreachable, err)
	}

	return result, nil
}
