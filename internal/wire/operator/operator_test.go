package operator_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/control/configuration"
	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	standin "github.com/dotterelflow/dotterelflow/internal/standin/operator"
	"github.com/dotterelflow/dotterelflow/internal/standin/platform"
	"github.com/dotterelflow/dotterelflow/internal/wire/operator"
)

const key = "operator-key-for-tests"

type fixture struct {
	view    *platform.View
	backend *standin.Backend
	server  *httptest.Server
	client  *operator.Client
}

func newFixture(t *testing.T) fixture {
	t.Helper()

	view := platform.NewStore(clockwork.NewRealClock()).View()
	backend := standin.NewBackend(view, clockwork.NewRealClock())

	handler, err := operator.Handler(backend, operator.Options{KeyHash: entity.HashKey(key), ApplyTimeout: 300 * time.Millisecond})
	require.NoError(t, err)

	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)

	address := strings.TrimPrefix(server.URL, "http://")

	return fixture{view: view, backend: backend, server: server, client: operator.NewClient(address, key, operator.ClientOptions{})}
}

// files returns the named files of the example deployment.
func files(t *testing.T, names ...string) []operator.File {
	t.Helper()

	var out []operator.File

	for _, name := range names {
		data, err := os.ReadFile("../../../examples/dombud/" + name)
		require.NoError(t, err)

		out = append(out, operator.File{Name: name, Text: string(data)})
	}

	return out
}

// load applies the whole example deployment.
func (f fixture) load(t *testing.T) {
	t.Helper()

	_, err := f.client.Apply(t.Context(), operator.EditRequest{
		ID: "load-examples", Files: files(t, "deployment.yaml", "templates.yaml", "accounts.yaml", "targets.yaml"),
	})
	require.NoError(t, err)
}

func problemOf(t *testing.T, err error) *operator.ProblemError {
	t.Helper()

	var p *operator.ProblemError

	require.ErrorAs(t, err, &p)

	return p
}

func TestEditShowDelete(t *testing.T) {
	f := newFixture(t)
	f.load(t)

	list, err := f.client.Items(t.Context(), configuration.Account)
	require.NoError(t, err)
	require.Len(t, list.Items, 4)
	require.Equal(t, entity.Generation(1), list.Generation)

	ref := configuration.Ref{Kind: configuration.Account, Name: "buyer-app"}
	got, err := f.client.Item(t.Context(), ref)
	require.NoError(t, err)
	require.Contains(t, got.Items[0].YAML, "good: 99.5%")

	changed := operator.File{Name: "buyer-app.yaml", Text: strings.Replace(got.Items[0].YAML, "99.5%", "98%", 1)}
	request := operator.EditRequest{ID: "edit-buyer-app", Base: got.Generation, Files: []operator.File{changed}}

	diff, err := f.client.Diff(t.Context(), request)
	require.NoError(t, err)
	require.Contains(t, diff.Diff, "-       good: 99.5%\n+       good: 98%\n")
	require.Contains(t, diff.Diff, "effect: 1 client account changes: buyer-app; no target changes\n")

	result, err := f.client.Apply(t.Context(), request)
	require.NoError(t, err)
	require.Equal(t, entity.Generation(2), result.Generation)

	// A repeat of the same request, as after a lost answer, changes nothing.
	again, err := f.client.Apply(t.Context(), request)
	require.NoError(t, err)
	require.Equal(t, result.Generation, again.Generation)

	_, err = f.client.Apply(t.Context(), operator.EditRequest{ID: "edit-delete-1", Base: 1, Delete: []configuration.Ref{ref}})
	p := problemOf(t, err)
	require.Equal(t, operator.CodeConflict, p.Code)
	require.Equal(t, http.StatusConflict, p.Status)
	require.Equal(t, entity.Generation(2), p.Generation)
	require.Contains(t, p.Conflicts[0].Diff, "-       good: 98%")

	_, err = f.client.Apply(t.Context(), operator.EditRequest{ID: "edit-delete-2", Base: 2, Delete: []configuration.Ref{ref}})
	require.NoError(t, err)

	_, err = f.client.Item(t.Context(), ref)
	require.Equal(t, operator.CodeNotFound, problemOf(t, err).Code)
}

func TestRefusedEditStatesTheLine(t *testing.T) {
	f := newFixture(t)
	f.load(t)

	tests := []struct {
		name, text string
		line       int
		want       string
	}{
		{"unknown field", "accounts:\n  - id: a\n    colour: red\n", 3, "unknown field"},
		{"unknown template", "accounts:\n  - id: a\n    template: none\n    key-hashes: [" + entity.HashKey("a") + "]\n", 3, "there is no template"},
		{"key in use", "accounts:\n  - id: a\n    template: buyer-app\n    key-hashes:\n      - " + entity.HashKey("demo-buyer-app") + "\n", 5, "in use already"},
	}

	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			request := operator.EditRequest{ID: "edit-refused", Base: 1, Files: []operator.File{{Name: "a.yaml", Text: tt.text}}}

			_, err := f.client.Apply(t.Context(), request)
			p := problemOf(t, err)
			require.Equal(t, operator.CodeInvalid, p.Code)
			require.Equal(t, "a.yaml", p.Problems[0].File)
			require.Equal(t, tt.line, p.Problems[0].Line)
			require.Contains(t, p.Problems[0].Reason, tt.want)

			_, err = f.client.Diff(t.Context(), request)
			require.Equal(t, p.Problems, problemOf(t, err).Problems)
		})
	}
}

func TestWaitNamesUnconfirmedHosts(t *testing.T) {
	f := newFixture(t)
	f.backend.SetHosts(operator.Host{ID: "h1", Generation: 1}, operator.Host{ID: "h2"})

	result, err := f.client.Apply(t.Context(), operator.EditRequest{
		ID: "edit-0001", Files: files(t, "deployment.yaml"), Wait: operator.Duration(150 * time.Millisecond),
	})
	require.NoError(t, err)
	require.Len(t, result.Unconfirmed, 1)
	require.Equal(t, entity.HostID("h2"), result.Unconfirmed[0].ID)
}

func TestOutage(t *testing.T) {
	f := newFixture(t)
	f.view.SetFaults(platform.Faults{Down: true})

	_, err := f.client.Apply(t.Context(), operator.EditRequest{ID: "edit-0001", Files: files(t, "deployment.yaml")})
	require.Equal(t, operator.CodeNotAccepted, problemOf(t, err).Code)
}

func TestPlans(t *testing.T) {
	f := newFixture(t)
	f.load(t)

	decode := entity.Decode

	tests := []struct {
		name string
		plan operator.Plan
		ok   bool
	}{
		{"drain", operator.Plan{ID: "plan-0001", Action: operator.Drain, Target: "lodz-engine-1"}, true},
		{"replace", operator.Plan{ID: "plan-0002", Action: operator.Replace, Target: "lodz-engine-1", Replacement: "lodz-engine-2"}, true},
		{"role", operator.Plan{ID: "plan-0003", Action: operator.Role, Target: "lodz-engine-1", Role: &decode}, true},
		{"no id", operator.Plan{Action: operator.Drain, Target: "lodz-engine-1"}, false},
		{"unknown action", operator.Plan{ID: "plan-0004", Action: "explode", Target: "lodz-engine-1"}, false},
		{"unknown target", operator.Plan{ID: "plan-0005", Action: operator.Drain, Target: "none"}, false},
		{"replace by itself", operator.Plan{ID: "plan-0006", Action: operator.Replace, Target: "lodz-engine-1", Replacement: "lodz-engine-1"}, false},
		{"no role", operator.Plan{ID: "plan-0007", Action: operator.Role, Target: "lodz-engine-1"}, false},
	}

	declared := 0

	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			for range 2 {
				_, err := f.client.Declare(t.Context(), tt.plan)
				if !tt.ok {
					require.Equal(t, operator.CodeInvalid, problemOf(t, err).Code)

					continue
				}

				require.NoError(t, err)
			}
		})

		if tt.ok {
			declared++
		}
	}

	require.NoError(t, f.client.Cancel(t.Context(), "plan-0001"))
	require.Equal(t, operator.CodeNotFound, problemOf(t, f.client.Cancel(t.Context(), "plan-9999")).Code)

	list, err := f.client.Plans(t.Context())
	require.NoError(t, err)
	require.Len(t, list.Plans, declared)
	require.Equal(t, "cancelled", list.Plans[0].State)

	status, err := f.client.Status(t.Context())
	require.NoError(t, err)
	require.Len(t, status.Targets, 22)

	report, err := f.client.Burn(t.Context())
	require.NoError(t, err)
	require.JSONEq(t, `{"accounts": []}`, string(report))
}

func TestRawRequests(t *testing.T) {
	f := newFixture(t)

	tests := []struct {
		name, method, path, key, body string
		status                        int
		want                          string
	}{
		{"no key", http.MethodGet, "/v1/status", "", "", http.StatusUnauthorized, `"code":"unauthorized"`},
		{"wrong key", http.MethodGet, "/v1/status", "Bearer no", "", http.StatusUnauthorized, `"code":"unauthorized"`},
		{"wrong key on no route", http.MethodGet, "/nothing", "Bearer no", "", http.StatusUnauthorized, `"code":"unauthorized"`},
		{"no route", http.MethodGet, "/v1/nothing", "Bearer " + key, "", http.StatusNotFound, `"code":"not-found"`},
		{"no such kind", http.MethodGet, "/v1/items/robots", "Bearer " + key, "", http.StatusNotFound, `"code":"not-found"`},
		{"no JSON", http.MethodPost, "/v1/edits", "Bearer " + key, "{", http.StatusBadRequest, `"code":"bad-request"`},
		{"unknown field", http.MethodPost, "/v1/edits", "Bearer " + key, `{"colour": 1}`, http.StatusBadRequest, `unknown field`},
		{"empty edit", http.MethodPost, "/v1/edits", "Bearer " + key, `{"id": "edit-0001"}`, http.StatusUnprocessableEntity, `"code":"invalid"`},
		{"bad kind", http.MethodPost, "/v1/edits", "Bearer " + key, `{"id": "edit-0001", "delete": [{"kind": "x", "name": "y"}]}`, http.StatusUnprocessableEntity, `unknown kind`},
		{"too large", http.MethodPost, "/v1/edits", "Bearer " + key, `{"id": "` + strings.Repeat("x", 9<<20) + `"}`, http.StatusRequestEntityTooLarge, `"code":"too-large"`},
		{"too deep", http.MethodPost, "/v1/edits", "Bearer " + key, strings.Repeat("[", 1<<20), http.StatusBadRequest, `"code":"bad-request"`},
	}

	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r, err := http.NewRequestWithContext(t.Context(), tt.method, f.server.URL+tt.path, strings.NewReader(tt.body))
			require.NoError(t, err)
			r.Header.Set("Authorization", tt.key)

			resp, err := http.DefaultClient.Do(r)
			require.NoError(t, err)

			defer resp.Body.Close()

			body, err := io.ReadAll(resp.Body)
			require.NoError(t, err)
			require.Equal(t, tt.status, resp.StatusCode, "%s", body)
			require.Equal(t, "application/problem+json", resp.Header.Get("Content-Type"))
			require.Contains(t, string(body), tt.want)
		})
	}
}

// FuzzEdit checks that every body gets a JSON answer or a problem document, and never status 500.
func FuzzEdit(f *testing.F) {
	view := platform.NewStore(clockwork.NewRealClock()).View()
	backend := standin.NewBackend(view, clockwork.NewRealClock())

	handler, err := operator.Handler(backend, operator.Options{KeyHash: entity.HashKey(key), ApplyTimeout: 300 * time.Millisecond})
	require.NoError(f, err)

	f.Add("/v1/edits", `{"id": "edit-0001", "files": [{"name": "f", "text": "deployment: {name: d}"}]}`)
	f.Add("/v1/diff", `{"files": [{"name": "f", "text": "targets: [{id: [a]}]"}]}`)
	f.Add("/v1/edits", `{"id": "edit-0002", "base": 18446744073709551615, "delete": [{"kind": "account", "name": ""}]}`)
	f.Add("/v1/plans", `{"id": "plan-0001", "action": "role", "target": "x", "role": "mixed"}`)

	f.Fuzz(func(t *testing.T, path, body string) {
		if path != "/v1/edits" && path != "/v1/diff" && path != "/v1/plans" {
			return
		}

		r := httptest.NewRequest(http.MethodPost, path, strings.NewReader(body))
		r.Header.Set("Authorization", "Bearer "+key)

		w := httptest.NewRecorder()
		handler.ServeHTTP(w, r)

		want := "application/json"
		if w.Code != http.StatusOK {
			want = "application/problem+json"
		}

		require.NotEqual(t, http.StatusInternalServerError, w.Code, "%s", w.Body)
		require.Equal(t, want, w.Header().Get("Content-Type"))
	})
}
