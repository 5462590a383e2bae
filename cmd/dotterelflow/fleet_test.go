package main_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
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
	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/standin/ports"
	"github.com/dotterelflow/dotterelflow/internal/wire/caller"
	"github.com/dotterelflow/dotterelflow/internal/wire/platform"
)

const (
	startTimeout  = 30 * time.Second
	answerTimeout = 30 * time.Second
	maxKeptOutput = 64 << 10 // bytes of a program's output that a failed start prints
	operatorKey   = "operator-key-of-the-process-tests"
)

// buildPrograms builds both programs once and returns their directory.
var buildPrograms = sync.OnceValues(func() (string, error) {
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

	if dir, err := buildPrograms(); err == nil {
		_ = os.RemoveAll(dir)
	}

	os.Exit(code)
}

// process is a program started by a test.
type process struct {
	cmd    *exec.Cmd
	exited chan struct{}
}

func (p *process) signal(t testing.TB, s syscall.Signal) {
	t.Helper()
	require.NoError(t, p.cmd.Process.Signal(s))
}

func (p *process) kill(t testing.TB) {
	t.Helper()
	p.signal(t, syscall.SIGKILL)
	<-p.exited
}

// startProgram starts a program, waits for an output line that matches readyLine and returns the submatches. The
// program is killed at the end of the test.
func startProgram(t testing.TB, readyLine *regexp.Regexp, name string, args ...string) (*process, []string) {
	t.Helper()

	dir, err := buildPrograms()
	require.NoError(t, err)

	cmd := exec.Command(filepath.Join(dir, name), args...)
	pipe, err := cmd.StdoutPipe()
	require.NoError(t, err)

	cmd.Stderr = cmd.Stdout

	require.NoError(t, cmd.Start())

	p := &process{cmd: cmd, exited: make(chan struct{})}
	found := make(chan []string, 1)

	var output strings.Builder // complete once p.exited is closed

	go func() {
		defer close(p.exited)

		for lines := bufio.NewScanner(pipe); lines.Scan(); {
			if output.Len() < maxKeptOutput {
				output.WriteString(lines.Text() + "\n")
			}

			if m := readyLine.FindStringSubmatch(lines.Text()); m != nil {
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
		<-p.exited
	})

	select {
	case m := <-found:
		return p, m
	case <-p.exited:
		require.FailNow(t, "program exited before it was ready", "%s %v: %v\n%s", name, args, cmd.ProcessState, output.String())
	case <-time.After(startTimeout):
		require.FailNow(t, "program was not ready in time", "%s %v", name, args)
	}

	return nil, nil
}

var listenLine = regexp.MustCompile(`listens on (\S+)`)

// startStandin starts the stand-in that args name, on a free port, and returns its address.
func startStandin(t testing.TB, args ...string) (*process, string) {
	t.Helper()

	p, m := startProgram(t, listenLine, "dotterelflow-standin", append(args, "--listen", "127.0.0.1:0")...)

	return p, m[1]
}

// entryHost is an entry host that runs as a process, with its addresses and the path of its settings file.
type entryHost struct {
	*process

	caller, operator, peer string
	settings               string
}

// fleet holds the processes of a platform, targets and entry hosts.
type fleet struct {
	platform        *process
	platformAddress string
	engines         []*process
	engineAddresses []string
	serviceAddress  string
	hosts           []*entryHost
}

const settingsTemplate = `id: %s
data-centre: %s
listen:
  caller: %s
  operator: %s
  peer: %s
platform: %s
operator-key-file: %s
log-level: info
`

var startedLine = regexp.MustCompile(`"caller":"([^"]+)","operator":"([^"]+)","peer":"([^"]+)"`)

// startHost writes a settings file for a new entry host and starts the host.
func (f *fleet) startHost(t testing.TB, name, dataCentre string, peers ...string) *entryHost {
	t.Helper()

	dir := t.TempDir()
	key := filepath.Join(dir, "operator.key")
	require.NoError(t, os.WriteFile(key, []byte(operatorKey), 0o600))

	port := ports.Reserve(t)
	text := fmt.Sprintf(settingsTemplate, name, dataCentre, ports.Address(port), ports.Address(port+1), ports.Address(port+2),
		f.platformAddress, key)
	if len(peers) > 0 {
		text += "peers: [" + strings.Join(peers, ", ") + "]\n"
	}

	path := filepath.Join(dir, "settings.yaml")
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))

	return f.runHost(t, path)
}

// runHost starts an entry host with the settings file at the path settings, and adds it to f.hosts.
func (f *fleet) runHost(t testing.TB, settings string) *entryHost {
	t.Helper()

	p, m := startProgram(t, startedLine, "dotterelflow", "entry", "--settings", settings)
	h := &entryHost{process: p, caller: m[1], operator: m[2], peer: m[3], settings: settings}
	f.hosts = append(f.hosts, h)

	return h
}

// waitReady waits until /readyz of h answers 200.
func (h *entryHost) waitReady(t testing.TB) {
	t.Helper()

	require.Eventually(t, func() bool {
		resp, err := http.Get("http://" + h.caller + "/readyz")
		if err != nil {
			return false
		}

		defer resp.Body.Close()

		return resp.StatusCode == http.StatusOK
	}, startTimeout, 50*time.Millisecond)
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

// startFleet starts a platform, an engine and an entry host in each of the data centres a and b, and a service in a.
// It waits until both hosts serve requests. The engines generate a token each tokenTime.
func startFleet(t testing.TB, tokenTime string) *fleet {
	t.Helper()

	f := &fleet{}
	f.platform, f.platformAddress = startStandin(t, "platform")

	for range 2 {
		p, address := startStandin(t, "engine", "--token-time", tokenTime)
		f.engines = append(f.engines, p)
		f.engineAddresses = append(f.engineAddresses, address)
	}

	_, f.serviceAddress = startStandin(t, "service")

	f.apply(t, fmt.Sprintf(testConfiguration, entity.HashKey("desk-key"), f.engineAddresses[0], f.engineAddresses[1], f.serviceAddress))

	first := f.startHost(t, "entry-1", "a")
	second := f.startHost(t, "entry-2", "b", first.peer)
	first.waitReady(t)
	second.waitReady(t)

	// The service is in data centre a, so this call succeeds only once the second host can reach it through the first.
	require.Eventually(t, func() bool {
		return call{host: second, kind: "check", prompt: "there?"}.send(t).complete
	}, startTimeout, 50*time.Millisecond)

	return f
}

// apply applies a configuration document to the platform.
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

// setHost sets the state of a host of data centre a in the platform's host list.
func (f *fleet) setHost(t *testing.T, address, state string) {
	t.Helper()

	r, err := http.NewRequest(http.MethodPut, "http://"+f.platformAddress+"/hosts/"+address+"?data-centre=a&state="+state, http.NoBody)
	require.NoError(t, err)

	resp, err := http.DefaultClient.Do(r)
	require.NoError(t, err)
	resp.Body.Close()
}

// call is a request of a caller to an entry host.
type call struct {
	host   *entryHost
	kind   string
	key    string
	prompt string
	tokens int // maximum number of output tokens
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

	return (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: answerTimeout}).Do(r)
}

// outcome is the result of a call: the text of its answer, or a problem.
type outcome struct {
	status     int
	text       string
	complete   bool // the whole answer has arrived
	problem    caller.Problem
	retryAfter string
}

// send sends c and returns its outcome.
func (c call) send(t testing.TB) outcome {
	t.Helper()

	resp, err := c.open(t.Context())
	require.NoError(t, err)

	return c.readOutcome(t, resp)
}

// readOutcome reads resp, the response to c, to its end.
func (c call) readOutcome(t testing.TB, resp *http.Response) outcome {
	t.Helper()

	defer resp.Body.Close()

	out := outcome{status: resp.StatusCode, retryAfter: resp.Header.Get("Retry-After")}
	body, err := io.ReadAll(resp.Body)

	if resp.StatusCode != http.StatusOK {
		require.NoError(t, err)
		require.NoError(t, json.Unmarshal(body, &out.problem), "%s", body)

		return out
	}

	switch {
	case c.stream:
		out.text, out.complete = streamText(body)
	case c.kind == "check" || c.kind == "hold":
		out.text, out.complete = string(body), err == nil
	default:
		out.text, out.complete = completionText(body), err == nil
	}

	return out
}

type textChunk struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
}

// completionText returns the text of a completion or of one event of a stream, or "" if it has none.
func completionText(body []byte) string {
	var chunk textChunk
	if json.Unmarshal(body, &chunk) != nil || len(chunk.Choices) == 0 {
		return ""
	}

	return chunk.Choices[0].Text
}

// streamText joins the texts of the events of a stream and reports whether the stream is complete.
func streamText(body []byte) (string, bool) {
	var text strings.Builder

	for line := range strings.Lines(string(body)) {
		data, ok := strings.CutPrefix(strings.TrimSpace(line), "data: ")
		if !ok {
			continue
		}

		if data == "[DONE]" {
			return text.String(), true
		}

		text.WriteString(completionText([]byte(data)))
	}

	return text.String(), false
}

// newKey returns a new request key.
func newKey() string {
	return uuid.Must(uuid.NewV7()).String()
}
