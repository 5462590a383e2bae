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

	"github.com/dotterelflow/dotterelflow/internal/wire/buffers"
	"github.com/dotterelflow/dotterelflow/internal/wire/once"
)

const (
	defaultTimeout = 2 * time.Second
	maxListBytes   = 64 << 20
	maxObjectBytes = 2 * MaxValueBytes // limit on one object encoded as JSON
	maxHeaderBytes = 64 << 10
	maxIdleConns   = 16
)

// Options configures a Client. The zero value selects the defaults.
type Options struct {
	Timeout time.Duration // limit on each call except Watch; zero means 2 s
	Name    string        // identifies this client; sent as the X-Client header
	// Address and DataCentre are announced with each call, for the platform's host list. Nothing is announced if
	// Address is empty.
	Address    string
	DataCentre string
}

// Headers with which a process announces itself to the host list.
const (
	HeaderAddress    = "X-Host-Address"
	HeaderDataCentre = "X-Host-Data-Centre"
)

// Client calls the platform over HTTP. It is safe for concurrent use. It sends each write at most once.
type Client struct {
	base      string
	opts      Options
	http      *http.Client
	watchHTTP *http.Client
}

// NewClient returns a Client for the platform at address, an ip:port.
func NewClient(address string, opts Options) *Client {
	if opts.Timeout == 0 {
		opts.Timeout = defaultTimeout
	}

	return &Client{
		base:      "http://" + address,
		opts:      opts,
		http:      newHTTP(opts.Timeout),
		watchHTTP: newHTTP(0),
	}
}

// newHTTP returns a client that does not follow redirects, since they could lead to another object.
func newHTTP(timeout time.Duration) *http.Client {
	return &http.Client{
		Transport:     &http.Transport{MaxIdleConnsPerHost: maxIdleConns, MaxResponseHeaderBytes: maxHeaderBytes},
		Timeout:       timeout,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Get returns the object at key, or one with Version zero if there is none. It fails with ErrUnavailable.
func (c *Client) Get(ctx context.Context, key Key) (Object, error) {
	var o Object

	if err := c.read(ctx, "/objects/"+string(key), maxObjectBytes, &o); err != nil {
		return Object{}, err
	}

	if o.Version != 0 && o.Key != key {
		return Object{}, unavailable(Error.New("the answer holds object %q", o.Key))
	}

	return o, nil
}

// Put writes value at key if the object's version is expect, and returns the new version. An expect of zero
// creates the object.
//
// It fails with ErrConflict, ErrUnavailable or ErrTooLarge if nothing was written, and with ErrUnknown if the
// write may have taken effect or may still do so.
func (c *Client) Put(ctx context.Context, key Key, expect Version, value []byte) (Version, error) {
	var o Object

	if err := c.write(ctx, http.MethodPut, key, expect, value, &o); err != nil {
		return 0, err
	}

	if o.Key != key || o.Version <= expect {
		return 0, Error.Wrap(joinErrors(ErrUnknown, Error.New("the answer holds version %d of object %q", o.Version, o.Key)))
	}

	return o.Version, nil
}

// Delete removes the object at key if its version is expect. Its errors are those of Put.
func (c *Client) Delete(ctx context.Context, key Key, expect Version) error {
	var o Object

	return c.write(ctx, http.MethodDelete, key, expect, nil, &o)
}

// List returns the objects whose keys start with prefix, ordered by key. It fails with ErrUnavailable.
func (c *Client) List(ctx context.Context, prefix string) ([]Object, error) {
	var objects []Object

	err := c.read(ctx, "/list?prefix="+url.QueryEscape(prefix), maxListBytes, &objects)

	return objects, err
}

// Hosts returns the platform's list of hosts, which lags behind, ordered by address. It fails with ErrUnavailable.
func (c *Client) Hosts(ctx context.Context) ([]Host, error) {
	var hosts []Host

	err := c.read(ctx, "/hosts", maxListBytes, &hosts)

	return hosts, err
}

// Watch delivers the changes, from now on, of objects whose keys start with prefix. A deleted object arrives with
// Version zero. The channel is closed when ctx ends, the connection ends, or an event has no key or cannot be decoded.
// Watch does not detect a connection on which nothing arrives any more; the caller must. It fails with ErrUnavailable.
func (c *Client) Watch(ctx context.Context, prefix string) (<-chan Object, error) {
	r, err := c.newRequest(ctx, http.MethodGet, "/watch?prefix="+url.QueryEscape(prefix), nil)
	if err != nil {
		return nil, err
	}

	resp, err := c.watchHTTP.Do(r) //nolint:bodyclose // closed by the goroutine below
	if err != nil {
		return nil, unavailable(once.Brief(err))
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

func (c *Client) newRequest(ctx context.Context, method, path string, body io.Reader) (*http.Request, error) {
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

// do sends r. After a failure it closes the idle connections: when one connection stops delivering data, others
// usually have too.
func (c *Client) do(r *http.Request) (*http.Response, error) {
	resp, err := c.http.Do(r)
	if err != nil {
		c.http.CloseIdleConnections()
	}

	return resp, once.Brief(err)
}

// read fetches path and decodes the JSON answer, of at most limit bytes, into the value that into points to.
func (c *Client) read(ctx context.Context, path string, limit int, into any) error {
	r, err := c.newRequest(ctx, http.MethodGet, path, nil)
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

	if err := decode(resp.Body, limit, into); err != nil {
		return unavailable(err)
	}

	return nil
}

// decode reads r, which holds at most limit bytes, to its end and decodes it into the value that into points to. The text of
// its error is short.
func decode(r io.Reader, limit int, into any) error {
	content, err := buffers.Read(r, limit)
	if err == nil {
		err = json.Unmarshal(content, into)
	}

	return once.Brief(err)
}

// write sends a conditional write of the object at key, at most once, and decodes the answer into the value that
// into points to. Its errors are those of Put.
func (c *Client) write(ctx context.Context, method string, key Key, expect Version, value []byte, into *Object) error {
	if len(value) > MaxValueBytes {
		return ErrTooLarge
	}

	r, err := c.newRequest(ctx, method, "/objects/"+string(key), bytes.NewReader(value))
	if err != nil {
		return err
	}

	// Without GetBody the transport cannot rewind the body and send the write again on a new connection.
	r.GetBody = nil
	r.Header.Set("If-Match", strconv.FormatUint(uint64(expect), 10))

	resp, err := c.do(r)
	if err != nil {
		return Error.Wrap(joinErrors(ErrUnknown, err))
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

	if err := decode(resp.Body, maxObjectBytes, into); err != nil {
		return Error.Wrap(joinErrors(ErrUnknown, err))
	}

	return nil
}
