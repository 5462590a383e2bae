package main_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/control/configuration"
	"github.com/dotterelflow/dotterelflow/internal/control/document"
	"github.com/dotterelflow/dotterelflow/internal/control/table"
	"github.com/dotterelflow/dotterelflow/internal/wire/caller"
	"github.com/dotterelflow/dotterelflow/internal/wire/platform"
)

const (
	startBound  = 30 * time.Second
	answerBound = 30 * time.Second
	operatorKey = "operator-key-of-the-process-tests"
)

// programs builds both programs once.
var programs = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "dotterelflow-test")
	if err != nil {
		return "", err
	}

	out, err := exec.Command("go", "build", "-o", dir, "../../cmd/dotterelflow", "../../cmd/dotterelflow-standin").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("%w: %s", err, out)
	}

	return dir, nil
})

func TestMain(m *testing.M) {
	code := m.Run()

	if dir, err := programs(); err == nil {
		_ = os.RemoveAll(dir)
	}

	os.Exit(code)
}

// process is a running program.
type process struct {
	cmd   *exec.Cmd
	ended chan struct{}
}

func (p *process) signal(t testing.TB, s syscall.Signal) {
	t.Helper()
	require.NoError(t, p.cmd.Process.Signal(s))
}

func (p *process) kill(t testing.TB) {
	t.Helper()
	p.signal(t, syscall.SIGKILL)
	<-p.ended
}

// start runs a program and returns the first match of want in its output.
func start(t testing.TB, want *regexp.Regexp, name string, args ...string) (*process, []string) {
	t.Helper()

	dir, err := programs()
	require.NoError(t, err)

	cmd := exec.Command(filepath.Join(dir, name), args...)
	pipe, err := cmd.StdoutPipe()
	require.NoError(t, err)

	cmd.Stderr = cmd.Stdout

	require.NoError(t, cmd.Start())

	p := &process{cmd: cmd, ended: make(chan struct{})}
	found := make(chan []string, 1)

	go func() {
		defer close(p.ended)

		for lines := bufio.NewScanner(pipe); lines.Scan(); {
			if m := want.FindStringSubmatch(lines.Text()); m != nil {
				select {
				case found <- m:
				default:
				}
			}
		}

		_ = cmd.Wait()
	}()

	t.Cleanup(func() {
		_ = cmd.Process.Kill()
		<-p.ended
	})

	select {
	case m := <-found:
		return p, m
	case <-p.ended:
		require.FailNow(t, "program ended early", "%s %v", name, args)
	case <-time.After(startBound):
		require.FailNow(t, "program did not start", "%s %v", name, args)
	}

	return nil, nil
}

var listens = regexp.MustCompile(`listens on (\S+)`)

func startStandin(t testing.TB, args ...string) (*process, string) {
	t.Helper()

	p, m := start(t, listens, "dotterelflow-standin", append(args, "--listen", "127.0.0.1:0")...)

	return p, m[1]
}

// entryHost is a running entry host and its addresses.
type entryHost struct {
	*process

	caller, operator, peer string
	settings               string
}

// fleet is a platform, targets and entry hosts as processes.
type fleet struct {
	platform        *process
	platformAddress string
	engines         []*process
	engineAddress   []string
	serviceAddress  string
	hosts           []*entryHost
}

const settingsForm = `id: %s
data-centre: %s
listen:
  caller: %s
  operator: %s
  peer: %s
platform: %s
operator-key-file: %s
log-level: info
`

var started = regexp.MustCompile(`"caller":"([^"]+)","operator":"([^"]+)","peer":"([^"]+)"`)

// freePort returns a loopback address that nothing listens on.
func freePort(t testing.TB) string {
	t.Helper()

	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)

	defer listener.Close()

	return listener.Addr().String()
}

// startHost runs an entry host with its own settings file.
func (f *fleet) startHost(t testing.TB, name, centre string, peers ...string) *entryHost {
	t.Helper()

	dir := t.TempDir()
	key := filepath.Join(dir, "operator.key")
	require.NoError(t, os.WriteFile(key, []byte(operatorKey), 0o600))

	text := fmt.Sprintf(settingsForm, name, centre, freePort(t), freePort(t), freePort(t), f.platformAddress, key)
	if len(peers) > 0 {
		text += "peers: [" + strings.Join(peers, ", ") + "]\n"
	}

	path := filepath.Join(dir, "settings.yaml")
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))

	return f.run(t, path)
}

func (f *fleet) run(t testing.TB, settings string) *entryHost {
	t.Helper()

	p, m := start(t, started, "dotterelflow", "entry", "--settings", settings)
	h := &entryHost{process: p, caller: m[1], operator: m[2], peer: m[3], settings: settings}
	f.hosts = append(f.hosts, h)

	return h
}

func (h *entryHost) waitReady(t testing.TB) {
	t.Helper()

	require.Eventually(t, func() bool {
		resp, err := http.Get("http://" + h.caller + "/readyz")
		if err != nil {
			return false
		}

		defer resp.Body.Close()

		return resp.StatusCode == http.StatusOK
	}, startBound, 50*time.Millisecond)
}

const testConfiguration = `
templates:
  - name: desk
    kinds:
      - {name: report, urgency: patient, model: m, deadline: 1m, max-output: 4000}
      - {name: note, model: m, deadline: 30s}
      - {name: grade, urgency: patient, at-most-once: true, model: m, deadline: 30s}
      - {name: check, urgency: urgent, service: s, deadline: 10s}
      - {name: hold, urgency: urgent, at-most-once: true, service: s, deadline: 10s}
accounts:
  - {id: desk, template: desk, key-hashes: [%s]}
targets:
  - {id: engine-1, type: engine, data-centre: a, address: %s, model: m, role: mixed, gated: true, checks-fencing: true, slots: 16, prefill-rate: 16000, decode-rate: 1200}
  - {id: engine-2, type: engine, data-centre: b, address: %s, model: m, role: mixed, gated: true, checks-fencing: true, slots: 16, prefill-rate: 16000, decode-rate: 1200}
  - {id: service-1, type: service, data-centre: a, address: %s, service: s, slots: 64}
`

func startFleet(t testing.TB, tokenTime string) *fleet {
	t.Helper()

	f := &fleet{}
	f.platform, f.platformAddress = startStandin(t, "platform")

	for range 2 {
		p, address := startStandin(t, "engine", "--token-time", tokenTime)
		f.engines = append(f.engines, p)
		f.engineAddress = append(f.engineAddress, address)
	}

	_, f.serviceAddress = startStandin(t, "service")

	f.apply(t, fmt.Sprintf(testConfiguration, table.HashKey("desk-key"), f.engineAddress[0], f.engineAddress[1], f.serviceAddress))

	first := f.startHost(t, "entry-1", "a")
	second := f.startHost(t, "entry-2", "b", first.peer)
	first.waitReady(t)
	second.waitReady(t)

	// The service is in the first host's data centre, so the second one must know the first.
	require.Eventually(t, func() bool {
		return call{host: second, kind: "check", prompt: "there?"}.send(t).whole
	}, startBound, 50*time.Millisecond)

	return f
}

func (f *fleet) apply(t testing.TB, text string) {
	t.Helper()

	doc, err := document.Parse("test.yaml", []byte(text))
	require.NoError(t, err)

	changes, err := configuration.ChangesOf(doc)
	require.NoError(t, err)

	client := platform.NewClient(f.platformAddress, platform.Options{Name: "test"})
	_, err = configuration.NewEditor(client, clockwork.NewRealClock(), nil).Apply(t.Context(),
		configuration.Edit{ID: configuration.EditID(uuid.NewString()), Changes: changes})
	require.NoError(t, err)
}

// setHost sets an entry of the platform's host list.
func (f *fleet) setHost(t *testing.T, address, state string) {
	t.Helper()

	r, err := http.NewRequest(http.MethodPut, "http://"+f.platformAddress+"/hosts/"+address+"?data-centre=a&state="+state, http.NoBody)
	require.NoError(t, err)

	resp, err := http.DefaultClient.Do(r)
	require.NoError(t, err)
	resp.Body.Close()
}

// call is a caller's request.
type call struct {
	host   *entryHost
	kind   string
	key    string
	prompt string
	tokens int
	stream bool
}

// open sends c and returns the response.
func (c call) open(ctx context.Context) (*http.Response, error) {
	path := "/v1/completions"
	body, _ := json.Marshal(map[string]any{"model": "m", "prompt": c.prompt, "max_tokens": c.tokens, "stream": c.stream})

	if c.kind == "check" || c.kind == "hold" {
		path = "/v1/services/s/" + c.kind
		body = []byte(c.prompt)
	}

	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.host.caller+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}

	r.Header.Set("Authorization", "Bearer desk-key")
	r.Header.Set(caller.HeaderKind, c.kind)

	if c.key != "" {
		r.Header.Set(caller.HeaderKey, c.key)
	}

	return (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: answerBound}).Do(r)
}

// outcome is the end of a call: the text of a whole answer, or a problem.
type outcome struct {
	status  int
	text    string
	whole   bool
	problem caller.Problem
	retry   string
}

func (c call) send(t testing.TB) outcome {
	t.Helper()

	resp, err := c.open(t.Context())
	require.NoError(t, err)

	return c.read(t, resp)
}

func (c call) read(t testing.TB, resp *http.Response) outcome {
	t.Helper()

	defer resp.Body.Close()

	out := outcome{status: resp.StatusCode, retry: resp.Header.Get("Retry-After")}
	body, err := io.ReadAll(resp.Body)

	if resp.StatusCode != http.StatusOK {
		require.NoError(t, err)
		require.NoError(t, json.Unmarshal(body, &out.problem), "%s", body)

		return out
	}

	switch {
	case c.stream:
		out.text, out.whole = streamed(body)
	case c.kind == "check" || c.kind == "hold":
		out.text, out.whole = string(body), err == nil
	default:
		out.text, out.whole = collected(body), err == nil
	}

	return out
}

type textChunk struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
}

func collected(body []byte) string {
	var chunk textChunk
	if json.Unmarshal(body, &chunk) != nil || len(chunk.Choices) == 0 {
		return ""
	}

	return chunk.Choices[0].Text
}

// streamed joins the events of a stream and reports whether it ended whole.
func streamed(body []byte) (string, bool) {
	var text strings.Builder

	for line := range strings.Lines(string(body)) {
		data, ok := strings.CutPrefix(strings.TrimSpace(line), "data: ")
		if !ok {
			continue
		}

		if data == "[DONE]" {
			return text.String(), true
		}

		text.WriteString(collected([]byte(data)))
	}

	return text.String(), false
}

func newKey() string {
	return uuid.Must(uuid.NewV7()).String()
}
