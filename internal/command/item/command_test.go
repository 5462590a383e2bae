package item_test

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
	"github.com/urfave/cli/v3"

	"github.com/dotterelflow/dotterelflow/internal/command/item"
	"github.com/dotterelflow/dotterelflow/internal/command/operatorcli"
	"github.com/dotterelflow/dotterelflow/internal/command/plan"
	"github.com/dotterelflow/dotterelflow/internal/command/settings"
	"github.com/dotterelflow/dotterelflow/internal/command/status"
	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	standin "github.com/dotterelflow/dotterelflow/internal/standin/operator"
	"github.com/dotterelflow/dotterelflow/internal/standin/platform"
	"github.com/dotterelflow/dotterelflow/internal/wire/operator"
)

const (
	operatorKey = "operator-key-for-tests"
	examples    = "../../../examples/"
)

// terminal runs commands against a stand-in operator API. Its flags are --address and --key-file with
// their values.
type terminal struct {
	t       *testing.T
	view    *platform.View
	backend *standin.Backend
	dir     string
	flags   []string
}

func newTerminal(t *testing.T) *terminal {
	t.Helper()

	view := platform.NewStore(clockwork.NewRealClock()).View()
	backend := standin.NewBackend(view, clockwork.NewRealClock())

	c := &terminal{t: t, view: view, backend: backend, dir: t.TempDir()}
	c.flags = []string{"--address", "", "--key-file", c.write("operator.key", operatorKey+"\n")}
	c.serve(operator.Options{})

	return c
}

// serve starts another operator API with opts before the same backend. The commands that follow call it.
func (c *terminal) serve(opts operator.Options) {
	c.t.Helper()

	opts.KeyHash = entity.HashKey(operatorKey)
	handler, err := operator.Handler(c.backend, opts)
	require.NoError(c.t, err)

	server := httptest.NewServer(handler)
	c.t.Cleanup(server.Close)

	c.flags[1] = strings.TrimPrefix(server.URL, "http://")
}

func (c *terminal) write(name, text string) string {
	path := filepath.Join(c.dir, name)
	require.NoError(c.t, os.WriteFile(path, []byte(text), 0o600))

	return path
}

// run runs a command line as given, without connection flags. It returns the output, the exit code and the
// error message.
func run(t *testing.T, args ...string) (out string, code int, message string) {
	t.Helper()

	var b bytes.Buffer

	root := &cli.Command{
		Name:           "dotterelflow",
		Writer:         &b,
		ErrWriter:      &b,
		ExitErrHandler: func(_ context.Context, _ *cli.Command, _ error) {},
		Commands:       []*cli.Command{item.Templates(), item.Accounts(), item.Targets(), plan.Command(), status.Command(), settings.Command()},
	}

	err := root.Run(t.Context(), append([]string{"dotterelflow"}, args...))
	if err == nil {
		return b.String(), 0, ""
	}

	var exit cli.ExitCoder
	if errors.As(err, &exit) {
		return b.String(), exit.ExitCode(), err.Error()
	}

	return b.String(), 1, err.Error()
}

// run runs "COMMAND SUBCOMMAND ARGS..." with the connection flags after the subcommand.
func (c *terminal) run(args ...string) (out string, code int, message string) {
	c.t.Helper()

	nameCount := 2
	if args[0] == "status" {
		nameCount = 1
	}

	commandLine := append(append(append([]string{}, args[:nameCount]...), c.flags...), args[nameCount:]...)

	return run(c.t, commandLine...)
}

// ok is like run, but fails the test unless the exit code is 0.
func (c *terminal) ok(args ...string) string {
	c.t.Helper()

	out, code, message := c.run(args...)
	require.Zero(c.t, code, message)

	return out
}

// load applies the example configuration of dombud, as generations 1 and 2.
func (c *terminal) load() {
	c.t.Helper()

	out := c.ok("template", "apply", examples+"dombud/deployment.yaml", examples+"dombud/templates.yaml", examples+"dombud/targets.yaml")
	require.Contains(c.t, out, "Accepted as generation 1")

	out = c.ok("account", "apply", examples+"dombud/accounts.yaml")
	require.Contains(c.t, out, "Accepted as generation 2")
}

func TestEditByFileAndByParameter(t *testing.T) {
	c := newTerminal(t)
	c.load()

	require.Equal(t, "NAME                CHANGED IN\nbroker-portal       2\nbuyer-app           2\nsurveyors-lodzkie   2\nsurveyors-mazowsze  2\n",
		c.ok("account", "list"))

	shown := c.ok("account", "show", "broker-portal")
	require.True(t, strings.HasPrefix(shown, "# base-generation: 2\naccounts:\n"), shown)

	file := c.write("broker-portal.yaml", strings.Replace(shown, "15m", "20m", 1))
	require.Contains(t, c.ok("account", "diff", file), "-       grade-deadline: 15m\n+       grade-deadline: 20m\n")
	require.Contains(t, c.ok("account", "edit", "broker-portal", "--file", file), "Accepted as generation 3")

	// The file still states base generation 2, so a second edit from it conflicts.
	_, code, message := c.run("account", "edit", "broker-portal", "--file", file)
	require.Equal(t, operatorcli.ExitConflict, code)
	require.Contains(t, message, "Another edit came first; generation 3 is in force. Nothing changed.")

	require.Contains(t, c.ok("account", "edit", "broker-portal", "--set", "open=200", "--set", "grade-deadline=30m"), "Accepted as generation 4")
	require.Contains(t, c.ok("account", "show", "broker-portal"), "open: 200")
	require.Contains(t, c.ok("account", "delete", "broker-portal"), "Accepted as generation 5")
	require.NotContains(t, c.ok("account", "list"), "broker-portal")
}

func TestRefusals(t *testing.T) {
	c := newTerminal(t)
	c.load()

	bad := c.write("bad.yaml", "accounts:\n  - id: a\n    template: buyer-app\n    key-hashes: ["+entity.HashKey("a")+"]\n    parameters: {good: 50%}\n")

	tests := []struct {
		name string
		args []string
		code int
		want string
	}{
		{"bad parameter", []string{"account", "apply", bad}, operatorcli.ExitRefused, "bad.yaml:5: account a: parameter good: \"50%\" is less than the least value 90%"},
		{"no file", []string{"account", "apply"}, operatorcli.ExitRefused, "give one or more files"},
		{"missing file", []string{"account", "apply", "none.yaml"}, operatorcli.ExitRefused, "no such file"},
		{"neither file nor set", []string{"account", "edit", "buyer-app"}, operatorcli.ExitRefused, "give either --file FILE"},
		{"another item", []string{"account", "edit", "buyer-app", "--file", bad}, operatorcli.ExitRefused, "the file must state the account buyer-app"},
		{"unknown item", []string{"account", "show", "none"}, operatorcli.ExitRefused, "there is no account none"},
		{"unknown parameter", []string{"account", "edit", "buyer-app", "--set", "x=1"}, operatorcli.ExitRefused, "has no parameter \"x\""},
		{"template in use", []string{"template", "delete", "buyer-app"}, operatorcli.ExitRefused, "there is no template \"buyer-app\""},
		{"unknown target", []string{"plan", "drain", "none"}, operatorcli.ExitRefused, "there is no target \"none\""},
		{"unknown role", []string{"plan", "role", "lodz-engine-1", "boss"}, operatorcli.ExitRefused, "give mixed, prefill or decode"},
		{"unknown plan", []string{"plan", "cancel", "plan-none"}, operatorcli.ExitRefused, "not found"},
	}

	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, code, message := c.run(tt.args...)
			require.Equal(t, tt.code, code, message)
			require.Contains(t, message, tt.want)
		})
	}

	_, code, _ := c.run("status", "--format", "xml")
	require.NotZero(t, code)
}

func TestPlanAndStatus(t *testing.T) {
	c := newTerminal(t)
	c.load()

	require.Contains(t, c.ok("plan", "drain", "lodz-engine-1", "--id", "plan-0001"), "Plan plan-0001: drain lodz-engine-1 is declared.")
	require.Contains(t, c.ok("plan", "replace", "lodz-engine-2", "lodz-engine-3"), "replace lodz-engine-2 is declared")
	require.Contains(t, c.ok("plan", "role", "lodz-engine-4", "decode"), "role lodz-engine-4 is declared")
	require.Contains(t, c.ok("plan", "withdraw", "lodz-engine-5"), "withdraw lodz-engine-5 is declared")
	require.Contains(t, c.ok("plan", "cancel", "plan-0001"), "Plan plan-0001 is cancelled.")

	var plans operator.PlanList

	require.NoError(t, json.Unmarshal([]byte(c.ok("plan", "list", "--format", "json")), &plans))
	require.Len(t, plans.Plans, 4)
	require.Equal(t, "cancelled", plans.Plans[0].State)

	c.backend.SetHosts(operator.Host{ID: "entry-1", DataCentre: "lodz", Address: "127.0.0.1:18013", Generation: 2, Ready: true})
	require.Contains(t, c.ok("status"), "entry-1  lodz         127.0.0.1:18013  2           true\n")
}

func TestUnconfirmedHosts(t *testing.T) {
	c := newTerminal(t)
	c.backend.SetHosts(operator.Host{ID: "entry-2", DataCentre: "radom", Address: "127.0.0.1:18023"})

	out, code, message := c.run("template", "apply", examples+"dombud/templates.yaml", "--wait", "100ms")
	require.Equal(t, operatorcli.ExitUnconfirmed, code)
	require.Contains(t, out, "Accepted as generation 1")
	require.Contains(t, message, "entry-2 (radom, 127.0.0.1:18023) has generation 0")
}

func TestFailures(t *testing.T) {
	c := newTerminal(t)
	c.load()
	c.serve(operator.Options{ApplyTimeout: 200 * time.Millisecond})

	c.view.SetFaults(platform.Faults{Down: true})

	_, code, message := c.run("account", "apply", examples+"dombud/accounts.yaml")
	require.Equal(t, operatorcli.ExitFailed, code)
	require.Contains(t, message, "Nothing changed")

	// Every write's answer is lost, and the write takes effect only after the command has ended.
	c.view.SetFaults(platform.Faults{LoseAnswer: true, LateWrite: time.Hour})

	_, code, message = c.run("account", "apply", examples+"dombud/accounts.yaml", "--timeout", "2s")
	require.Equal(t, operatorcli.ExitFailed, code)
	require.Contains(t, message, "Nothing changed")

	_, code, _ = run(t, "status", "--address", "127.0.0.1:1", "--key-file", c.flags[3])
	require.Equal(t, operatorcli.ExitFailed, code)

	_, code, message = run(t, "status", "--address", "localhost:1", "--key-file", c.flags[3])
	require.Equal(t, operatorcli.ExitRefused, code)
	require.Contains(t, message, "is not an IP number and a port")

	c.flags[3] = c.write("wrong.key", "another-key-for-tests")

	_, code, message = c.run("status")
	require.Equal(t, operatorcli.ExitRefused, code)
	require.Contains(t, message, "The operator key is wrong")
}

// TestLostAnswerIsSettled loses the platform's answers to writes and then the host's first answer: in one
// case the connection is cut, in the other the host answers that the outcome is unknown. The command must
// send the edit again, and the edit must take effect once.
func TestLostAnswerIsSettled(t *testing.T) {
	for name, loseAnswer := range map[string]func(http.ResponseWriter){
		"connection cut": func(http.ResponseWriter) { panic(http.ErrAbortHandler) },
		"outcome unknown": func(w http.ResponseWriter) {
			w.WriteHeader(http.StatusGatewayTimeout)
			_ = json.NewEncoder(w).Encode(operator.ProblemError{Code: operator.CodeUnsettled})
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := newTerminal(t)
			c.load()
			c.view.SetFaults(platform.Faults{LoseAnswer: true, LateWrite: 100 * time.Millisecond})

			// The default ApplyTimeout lets the host retry until well after the late write, also on a slow
			// machine.
			handler, err := operator.Handler(c.backend, operator.Options{KeyHash: entity.HashKey(operatorKey)})
			require.NoError(t, err)

			var applyCalls atomic.Int32

			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.Method != http.MethodPost || applyCalls.Add(1) > 1 {
					handler.ServeHTTP(w, r)

					return
				}

				handler.ServeHTTP(httptest.NewRecorder(), r)
				loseAnswer(w)
			}))
			t.Cleanup(server.Close)

			c.flags[1] = strings.TrimPrefix(server.URL, "http://")

			require.Contains(t, c.ok("account", "edit", "buyer-app", "--set", "open=9"), "Accepted as generation 3")
			require.EqualValues(t, 2, applyCalls.Load())
			require.Contains(t, c.ok("account", "show", "buyer-app"), "# base-generation: 3")
		})
	}
}

func TestUnsettledEditSaysHowToGoOn(t *testing.T) {
	c := newTerminal(t)

	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusGatewayTimeout)
		_ = json.NewEncoder(w).Encode(operator.ProblemError{Code: operator.CodeUnsettled})
	}))
	defer server.Close()

	c.flags[1] = strings.TrimPrefix(server.URL, "http://")

	_, code, message := c.run("account", "apply", examples+"dombud/accounts.yaml", "--base", "7", "--edit-id", "edit-0001", "--timeout", "700ms")
	require.Equal(t, operatorcli.ExitUnsettled, code)
	require.Contains(t, message, "Run the command again with --edit-id edit-0001 --base 7")
}

func TestSettingsCheck(t *testing.T) {
	out, code, _ := run(t, "settings", "check", examples+"settings/entry-1.yaml", examples+"settings/entry-2.yaml")
	require.Zero(t, code)
	require.Contains(t, out, "entry-1.yaml: good: entry-1 in lodz")

	_, code, message := run(t, "settings", "check", examples+"dombud/accounts.yaml")
	require.Equal(t, operatorcli.ExitRefused, code)
	require.Contains(t, message, "accounts.yaml:2: unknown field \"accounts\"")
}

func TestHelpHasExampleAndExitCodes(t *testing.T) {
	for _, args := range [][]string{
		{"template", "list"}, {"template", "show"}, {"account", "apply"}, {"account", "edit"}, {"account", "diff"}, {"account", "delete"},
		{"plan", "drain"}, {"plan", "replace"}, {"plan", "withdraw"}, {"plan", "role"}, {"plan", "list"}, {"plan", "cancel"},
		{"status"}, {"settings", "check"},
	} {
		out, code, _ := run(t, append(args, "--help")...)
		require.Zero(t, code)
		require.Contains(t, out, "Example: dotterelflow "+strings.Join(args, " "))
		require.Contains(t, out, "Exit codes: 0 ")
		require.Contains(t, out, "--format")
	}
}
