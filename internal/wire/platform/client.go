package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"
)

const (
	defaultTimeout = 2 * time.Second
	maxListBytes   = 64 << 20
	maxObjectBytes = 2 * MaxValueBytes // one object as JSON
	maxHeaderBytes = 64 << 10
	idleConns      = 16
)

// Options tune a Client. The zero value works.
type Options struct {
	Timeout time.Duration // bound of each call but Watch; zero means 2 s
	Name    string        // sent as X-Client
	// Address and DataCentre announce this process to the platform's host list; empty for none.
	Address    string
	DataCentre string
}

// Headers by which a process announces itself.
const (
	HeaderAddress    = "X-Host-Address"
	HeaderDataCentre = "X-Host-Data-Centre"
)

// Client is the HTTP adapter to the platform. It is safe for concurrent use and never sends a call twice.
type Client struct {
	base    string
	opts    Options
	http    *http.Client
	watcher *http.Client
}

// NewClient returns a Client of the platform at address, an ip:port.
func NewClient(address string, opts Options) *Client {
	if opts.Timeout == 0 {
		opts.Timeout = defaultTimeout
	}

	return &Client{
		base:    "http://" + address,
		opts:    opts,
		http:    newHTTP(opts.Timeout),
		watcher: newHTTP(0),
	}
}

// newHTTP returns a client that follows no redirect, as the answer would be about another object.
func newHTTP(timeout time.Duration) *http.Client {
	return &http.Client{
		Transport:     &http.Transport{MaxIdleConnsPerHost: idleConns, MaxResponseHeaderBytes: maxHeaderBytes},
		Timeout:       timeout,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Get returns the object at key, with Version zero where there is none.
func (c *Client) Get(ctx context.Context, key Key) (Object, error) {
	var o Object

	if err := c.read(ctx, "/objects/"+string(key), &o); err != nil {
		return Object{}, err
	}

	if o.Version != 0 && o.Key != key {
		return Object{}, unavailable(Error.New("the answer is about %q", o.Key))
	}

	return o, nil
}

// Put writes value at key if its version is expect, and returns the new version.
//
// It fails with ErrConflict, ErrUnavailable or ErrTooLarge when nothing was written, and with
// ErrUnknown when the write may have taken effect.
func (c *Client) Put(ctx context.Context, key Key, expect Version, value []byte) (Version, error) {
	var o Object

	if err := c.write(ctx, http.MethodPut, key, expect, value, &o); err != nil {
		return 0, err
	}

	if o.Key != key || o.Version <= expect {
		return 0, Error.Wrap(joined(ErrUnknown, Error.New("the answer is about version %d of %q", o.Version, o.Key)))
	}

	return o.Version, nil
}

// Delete removes the object at key if its version is expect. It fails as Put does.
func (c *Client) Delete(ctx context.Context, key Key, expect Version) error {
	var o Object

	return c.write(ctx, http.MethodDelete, key, expect, nil, &o)
}

// List returns the objects whose keys start with prefix, ordered by key.
func (c *Client) List(ctx context.Context, prefix string) ([]Object, error) {
	var objects []Object

	err := c.read(ctx, "/list?prefix="+url.QueryEscape(prefix), &objects)

	return objects, err
}

// Hosts returns the platform's lagging list of hosts, ordered by address.
func (c *Client) Hosts(ctx context.Context) ([]Host, error) {
	var hosts []Host

	err := c.read(ctx, "/hosts", &hosts)

	return hosts, err
}

// Watch delivers each later change below prefix; a deleted object arrives with Version zero.
// The channel closes when ctx or the connection ends. A silent connection is not noticed here.
func (c *Client) Watch(ctx context.Context, prefix string) (<-chan Object, error) {
	r, err := c.request(ctx, http.MethodGet, "/watch?prefix="+url.QueryEscape(prefix), nil)
	if err != nil {
		return nil, err
	}

	resp, err := c.watcher.Do(r) //nolint:bodyclose // closed by the goroutine below
	if err != nil {
		return nil, unavailable(err)
	}

	if resp.StatusCode != http.StatusOK {
		_ = resp.Body.Close()

		return nil, ErrUnavailable
	}

	events := make(chan Object)

	go func() {
		defer close(events)
		defer func() { _ = resp.Body.Close() }()

		body := &io.LimitedReader{R: resp.Body}

		for dec := json.NewDecoder(body); ; {
			var o Object

			body.N = maxObjectBytes
			if dec.Decode(&o) != nil || o.Key == "" {
				return
			}

			select {
			case events <- o:
			case <-ctx.Done():
				return
			}
		}
	}()

	return events, nil
}

func (c *Client) request(ctx context.Context, method, path string, body io.Reader) (*http.Request, error) {
	r, err := http.NewRequestWithContext(ctx, method, c.base+path, body)
	if err != nil {
		return nil, unavailable(err)
	}

	r.Header.Set("X-Client", c.opts.Name)

	if c.opts.Address != "" {
		r.Header.Set(HeaderAddress, c.opts.Address)
		r.Header.Set(HeaderDataCentre, c.opts.DataCentre)
	}

	return r, nil
}

// do sends r. After a failure no idle connection is used again, as one that went silent seldom is
// the only one.
func (c *Client) do(r *http.Request) (*http.Response, error) {
	resp, err := c.http.Do(r)
	if err != nil {
		c.http.CloseIdleConnections()
	}

	return resp, err
}

func (c *Client) read(ctx context.Context, path string, into any) error {
	r, err := c.request(ctx, http.MethodGet, path, nil)
	if err != nil {
		return err
	}

	resp, err := c.do(r)
	if err != nil {
		return unavailable(err)
	}

	defer func() { _ = resp.Body.Close() }()

	if resp.StatusCode != http.StatusOK {
		return ErrUnavailable
	}

	if err := json.NewDecoder(io.LimitReader(resp.Body, maxListBytes)).Decode(into); err != nil {
		return unavailable(err)
	}

	return nil
}

func (c *Client) write(ctx context.Context, method string, key Key, expect Version, value []byte, into *Object) error {
	if len(value) > MaxValueBytes {
		return ErrTooLarge
	}

	r, err := c.request(ctx, method, "/objects/"+string(key), bytes.NewReader(value))
	if err != nil {
		return err
	}

	// Without GetBody the transport cannot send the write a second time on a new connection.
	r.GetBody = nil
	r.Header.Set("If-Match", strconv.FormatUint(uint64(expect), 10))

	resp, err := c.do(r)
	if err != nil {
		return Error.Wrap(joined(ErrUnknown, err))
	}

	defer func() { _ = resp.Body.Close() }()

	switch resp.StatusCode {
	case http.StatusOK:
	case http.StatusPreconditionFailed:
		return ErrConflict
	case http.StatusRequestEntityTooLarge:
		return ErrTooLarge
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return ErrUnavailable
	default:
		return ErrUnknown
	}

	if err := json.NewDecoder(io.LimitReader(resp.Body, maxObjectBytes)).Decode(into); err != nil {
		return Error.Wrap(joined(ErrUnknown, err))
	}

	return nil
}
