package report_test

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/urfave/cli/v3"

	"github.com/dotterelflow/dotterelflow/internal/command/report"
	"github.com/dotterelflow/dotterelflow/internal/measure/burnrate"
)

// startOperatorServer starts a server that answers /v1/burn like the operator API, with a report on one late
// request, and requires the key "secret".
func startOperatorServer(t *testing.T) *httptest.Server {
	t.Helper()

	var l burnrate.Ledger

	now := time.Date(2026, 1, 5, 20, 0, 0, 0, time.UTC)
	l.Record(now, burnrate.Key{Account: "portal", Kind: "booking-check"}, burnrate.Late)

	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodGet || r.URL.Path != "/v1/burn" || r.Header.Get("Authorization") != "Bearer secret" {
			http.Error(w, "unauthorized", http.StatusUnauthorized)

			return
		}

		_ = json.NewEncoder(w).Encode(l.Report(now, burnrate.ReportOptions{}))
	}))
	t.Cleanup(s.Close)

	return s
}

func TestReportBurn(t *testing.T) {
	tests := []struct {
		name, key, format, want, err string
	}{
		{"text", "secret\n", "text", "portal / booking-check: fast", ""},
		{"json", "secret", "json", `"event": "late"`, ""},
		{"html", "secret", "html", "<svg", ""},
		{"wrong key", "other", "text", "", "401"},
		{"unknown format", "secret", "pdf", "", "unknown format"},
	}

	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			dir := t.TempDir()
			key := filepath.Join(dir, "key")
			require.NoError(t, os.WriteFile(key, []byte(tt.key), 0o600))

			server := startOperatorServer(t)
			address := server.Listener.Addr().String()
			args := []string{"report", "burn", "--address", address, "--key-file", key, "--format", tt.format}

			var out bytes.Buffer

			cmd := report.Command()
			cmd.Writer = &out
			// The default handler would end the process with the exit code.
			cmd.ExitErrHandler = func(context.Context, *cli.Command, error) {}
			err := cmd.Run(t.Context(), args)

			if tt.err != "" {
				require.ErrorContains(t, err, tt.err)
				require.Empty(t, out.String())

				return
			}

			require.NoError(t, err)
			require.Contains(t, out.String(), tt.want)

			file := filepath.Join(dir, "out")
			require.NoError(t, report.Command().Run(t.Context(), append(args, "--out", file)))

			written, err := os.ReadFile(file)
			require.NoError(t, err)
			require.Equal(t, out.String(), string(written))
		})
	}
}
