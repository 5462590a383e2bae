package host_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"github.com/phuslu/log"
	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/control/configuration"
	"github.com/dotterelflow/dotterelflow/internal/control/document"
	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/entry/host"
	"github.com/dotterelflow/dotterelflow/internal/standin/engine"
	"github.com/dotterelflow/dotterelflow/internal/standin/httpserver"
	standinplatform "github.com/dotterelflow/dotterelflow/internal/standin/platform"
	"github.com/dotterelflow/dotterelflow/internal/standin/service"
	"github.com/dotterelflow/dotterelflow/internal/wire/caller"
)

const (
	loopback      = "127.0.0.1:0"
	settleTimeout = 20 * time.Second
	pollEvery     = 20 * time.Millisecond
	liveness      = 1500 * time.Millisecond
)

// deployment is a platform, targets and entry hosts in this process, on loopback.
type deployment struct {
	store    *standinplatform.Store
	engines  []*engine.Server
	servers  []*httpserver.Server // servers of the engines
	services []*service.Server
	doc      document.Document
	hosts    []*host.Host
	views    []*standinplatform.View
	tune     func(*host.Options) // changes the options of hosts that addHost starts; may be nil
}

// configurationFormat has the key hashes of both accounts as arguments.
const configurationFormat = `
templates:
  - name: desk
    kinds:
      - {name: report, urgency: patient, model: m, deadline: 1m, max-output: 4000}
      - {name: note, model: m, deadline: 20s}
      - {name: ask, urgency: urgent, model: m, deadline: 20s}
      - {name: grade, urgency: patient, at-most-once: true, model: m, deadline: 20s}
      - {name: hold, urgency: urgent, at-most-once: true, service: s, deadline: 5s}
accounts:
  - {id: desk, template: desk, key-hashes: [%s]}
  - {id: other, template: desk, key-hashes: [%s]}
`

// newDeployment starts engines, each in the mixed role, and one service in the data centre a. It starts no host.
func newDeployment(t *testing.T, engines int, opts engine.Options) *deployment {
	t.Helper()

	return newDeploymentIn(t, engines, opts, "a")
}

// newDeploymentIn starts a deployment like newDeployment with the engines spread over dataCentres.
func newDeploymentIn(t *testing.T, engines int, opts engine.Options, dataCentres ...entity.DataCentre) *deployment {
	t.Helper()

	d := &deployment{store: standinplatform.NewStore(clockwork.NewRealClock())}
	text := fmt.Sprintf(configurationFormat, entity.HashKey("desk-key"), entity.HashKey("other-key")) + "targets:\n"

	for i := range engines {
		e := engine.NewServer(opts)
		server := serve(t, e)
		d.engines = append(d.engines, e)
		d.servers = append(d.servers, server)
		text += fmt.Sprintf("  - {id: engine-%d, type: engine, data-centre: %s, address: %s, model: m, role: mixed, "+
			"gated: true, checks-fencing: true, slots: 16, prefill-rate: 16000, decode-rate: 1200}\n", i+1, dataCentres[i%len(dataCentres)], server.Address())
	}

	svc := &service.Server{}
	d.services = append(d.services, svc)
	text += fmt.Sprintf("  - {id: service-1, type: service, data-centre: a, address: %s, service: s, slots: 64}\n", serve(t, svc).Address())

	doc, err := document.Parse("site.yaml", []byte(text))
	require.NoError(t, err)

	d.doc = doc
	d.apply(t, doc)

	return d
}

// serve serves handler on loopback until the test ends.
func serve(t *testing.T, handler http.Handler) *httpserver.Server {
	t.Helper()

	server, err := httpserver.Serve(loopback, handler)
	require.NoError(t, err)
	t.Cleanup(func() { _ = server.Close() })

	return server
}

// apply writes doc to the platform as the next generation of the configuration and returns that generation.
func (d *deployment) apply(t *testing.T, doc document.Document) entity.Generation {
	t.Helper()

	changes, err := configuration.ChangesOf(doc)
	require.NoError(t, err)

	editor := configuration.NewEditor(d.store.View(), clockwork.NewRealClock(), nil)
	current := entity.Generation(0)

	if len(d.hosts) > 0 {
		current = d.hosts[0].Generation()
	}

	g, err := editor.Apply(t.Context(), configuration.Edit{
		ID: configuration.EditID(uuid.NewString()), Base: current, Changes: changes,
	})
	require.NoError(t, err)

	return g
}

// addHost starts an entry host in dc, and waits until it is ready and sees all other hosts as ready peers.
func (d *deployment) addHost(t *testing.T, dc entity.DataCentre) *host.Host {
	t.Helper()

	var seeds []string
	for _, h := range d.hosts {
		seeds = append(seeds, h.PeerAddress())
	}

	view := d.store.View()
	opts := host.Options{
		ID: entity.HostID(uuid.NewString()), DataCentre: dc, Platform: view, Seeds: seeds,
		CallerAddress: loopback, PeerAddress: loopback, OperatorAddress: loopback,
		OperatorKeyHash: entity.HashKey("operator-key"),
		Log:             &log.Logger{Level: log.ErrorLevel, Writer: log.IOWriter{Writer: t.Output()}},
		StopTimeout:     settleTimeout,
		Liveness:        liveness,
	}

	if d.tune != nil {
		d.tune(&opts)
	}

	h, err := host.Start(opts)
	require.NoError(t, err)
	t.Cleanup(func() { _ = h.Stop() })

	d.hosts = append(d.hosts, h)
	d.views = append(d.views, view)
	others := len(d.hosts) - 1

	require.Eventually(t, func() bool { return h.Ready() == nil && h.ReadyPeers() >= others }, settleTimeout, pollEvery)

	return h
}

// call is a request of a caller.
type call struct {
	kind   string
	key    string // idempotency key
	bearer string // "desk-key" if empty
	prompt string
	tokens int // max_tokens
	stream bool
	resume string // Last-Event-ID header
}

// outcome is the answer to a call.
type outcome struct {
	status     int
	text       string
	ids        []string // ids of a stream's events
	whole      bool     // a stream ended with its end marker; any other answer with status 200 is whole
	retryAfter string   // Retry-After header
	problem    caller.Problem
}

func (c call) request(ctx context.Context, address string) *http.Request {
	path := "/v1/completions"
	body, _ := json.Marshal(map[string]any{"model": "m", "prompt": c.prompt, "max_tokens": c.tokens, "stream": c.stream})

	if c.kind == "hold" {
		path, body = "/v1/services/s/hold", []byte(c.prompt)
	}

	r, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if c.bearer == "" {
		c.bearer = "desk-key"
	}

	r.Header.Set("Authorization", "Bearer "+c.bearer)
	r.Header.Set(caller.HeaderKind, c.kind)

	if c.key != "" {
		r.Header.Set(caller.HeaderKey, c.key)
	}

	if c.resume != "" {
		r.Header.Set(caller.HeaderResume, c.resume)
	}

	return r
}

// do sends the call to h on a connection of its own and reads the answer.
func (c call) do(ctx context.Context, h *host.Host) (outcome, error) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

	resp, err := client.Do(c.request(ctx, h.CallerAddress()))
	if err != nil {
		return outcome{}, err
	}

	defer resp.Body.Close()

	return c.read(resp)
}

func (c call) read(resp *http.Response) (outcome, error) {
	out := outcome{status: resp.StatusCode, retryAfter: resp.Header.Get("Retry-After")}

	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return out, err
	}

	switch {
	case resp.StatusCode != http.StatusOK:
		return out, json.Unmarshal(body, &out.problem)
	case c.kind == "hold":
		out.text, out.whole = string(body), true
	case c.stream:
		out.text, out.whole = joinStream(body)
		out.ids = eventIDs(body)
	default:
		out.text, out.whole = completionText(body), true
	}

	return out, nil
}

// send is do for a call that must not fail on the connection.
func (c call) send(t *testing.T, h *host.Host) outcome {
	t.Helper()

	out, err := c.do(t.Context(), h)
	require.NoError(t, err)

	return out
}

// want returns the complete answer of a stand-in engine to the call.
func (c call) want() string {
	return engine.Answer(c.prompt, c.tokens)
}

// completionText returns the text of a completion or of a stream's chunk; empty if it has none.
func completionText(body []byte) string {
	var chunk struct {
		Choices []struct {
			Text string `json:"text"`
		} `json:"choices"`
	}

	if json.Unmarshal(body, &chunk) != nil || len(chunk.Choices) == 0 {
		return ""
	}

	return chunk.Choices[0].Text
}

// joinStream returns the text of a stream's events and reports whether the stream ended with [DONE].
func joinStream(body []byte) (string, bool) {
	var joined string

	for line := range bytes.Lines(body) {
		data, ok := bytes.CutPrefix(bytes.TrimSpace(line), []byte("data: "))

		switch {
		case !ok:
		case string(data) == "[DONE]":
			return joined, true
		default:
			joined += completionText(data)
		}
	}

	return joined, false
}

// eventIDs returns the ids of a stream's events.
func eventIDs(body []byte) []string {
	var ids []string

	for line := range bytes.Lines(body) {
		if id, ok := bytes.CutPrefix(bytes.TrimSpace(line), []byte("id: ")); ok {
			ids = append(ids, string(id))
		}
	}

	return ids
}

func newKey() string {
	return uuid.Must(uuid.NewV7()).String()
}
