package operator_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/control/configuration"
	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/wire/operator"
	"github.com/dotterelflow/dotterelflow/internal/wire/panics"
)

// panickyBackend panics in each operation.
type panickyBackend struct{}

func (panickyBackend) Contents() *configuration.Contents { panic("fault") }

func (panickyBackend) Apply(context.Context, configuration.Edit) (entity.Generation, error) {
	panic("fault")
}

func (panickyBackend) Status(context.Context) (operator.Status, error) { panic("fault") }

func (panickyBackend) Plans(context.Context) ([]operator.Plan, error) { panic("fault") }

func (panickyBackend) Declare(context.Context, operator.Plan) (operator.Plan, error) {
	panic("fault")
}

func (panickyBackend) Cancel(context.Context, string) error { panic("fault") }

// Burn returns a report that panics while it is encoded.
func (panickyBackend) Burn(context.Context) (any, error) { return panickyReport{}, nil }

type panickyReport struct{}

func (panickyReport) MarshalJSON() ([]byte, error) { panic("fault") }

func TestOperatorsRequestThatPanicsGetsNoAnswer(t *testing.T) {
	for name, tt := range map[string]struct {
		method, path, body string
		changes            bool // whether the method can change something
	}{
		"edit":                {http.MethodPost, "/v1/edits", `{"id":"edit-0001"}`, true},
		"plan":                {http.MethodPost, "/v1/plans", `{"id":"plan-0001","action":"drain","target":"x"}`, true},
		"cancel":              {http.MethodDelete, "/v1/plans/plan-0001", "", true},
		"diff":                {http.MethodPost, "/v1/diff", `{}`, true},
		"status":              {http.MethodGet, "/v1/status", "", false},
		"while it is encoded": {http.MethodGet, "/v1/burn", "", false},
	} {
		t.Run(name, func(t *testing.T) {
			var logged bytes.Buffer

			recorder := panics.Recorder{Log: &log.Logger{Writer: &log.IOWriter{Writer: &logged}}, Count: metrics.NewCounter()}
			handler, err := operator.Handler(panickyBackend{}, operator.Options{KeyHash: entity.HashKey(key), Panics: recorder})
			require.NoError(t, err)

			server := httptest.NewServer(handler)
			defer server.Close()

			r, err := http.NewRequestWithContext(t.Context(), tt.method, server.URL+tt.path, strings.NewReader(tt.body))
			require.NoError(t, err)
			r.Header.Set("Authorization", "Bearer "+key)

			resp, err := server.Client().Do(r)
			require.NoError(t, err)

			defer func() { _ = resp.Body.Close() }()

			body, err := io.ReadAll(resp.Body)
			require.NoError(t, err)

			var p operator.ProblemError

			require.NoError(t, json.Unmarshal(body, &p), "%s", body)
			require.Equal(t, http.StatusInternalServerError, resp.StatusCode)
			require.Equal(t, "application/problem+json", resp.Header.Get("Content-Type"))
			require.Equal(t, operator.CodeInternal, p.Code)
			require.Equal(t, tt.changes, strings.Contains(p.Detail, "may come into force"))
			require.NotContains(t, p.Detail, "fault")
			require.Equal(t, int64(1), recorder.Count.Count())
			require.Contains(t, logged.String(), "panic_test.go")
		})
	}
}
