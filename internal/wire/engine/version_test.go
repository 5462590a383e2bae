package engine_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/wire/engine"
	"github.com/dotterelflow/dotterelflow/internal/wire/verdict"
)

func TestEngineOfAnotherVersionDoesNotGoOn(t *testing.T) {
	tooLong := strings.Repeat("v", 65)

	for name, tt := range map[string]struct {
		stated  string
		want    entity.SoftwareVersion // version of the events or the KV cache before
		from    uint64
		status  int
		code    verdict.Code // empty for a whole answer
		learned entity.SoftwareVersion
	}{
		"new answer":                    {stated: "v1", learned: "v1"},
		"same version":                  {stated: "v1", want: "v1", from: 1, learned: "v1"},
		"no versions":                   {from: 1},
		"refused":                       {stated: "v2", want: "v1", status: http.StatusPreconditionFailed, code: verdict.CodeOtherVersion, learned: "v2"},
		"started anyway":                {stated: "v2", want: "v1", code: verdict.CodeOtherVersion, learned: "v2"},
		"events of no version":          {stated: "v2", from: 1, code: verdict.CodeOtherVersion, learned: "v2"},
		"none stated":                   {want: "v1", from: 1, code: verdict.CodeOtherVersion},
		"not a version counts as none":  {stated: "v 1", want: "v1", code: verdict.CodeOtherVersion},
		"too long a version is as none": {stated: tooLong},
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.Header.Get(engine.HeaderVersion) != string(tt.want) {
					t.Errorf("asked for version %q", r.Header.Get(engine.HeaderVersion))
				}

				if tt.stated != "" {
					w.Header().Set(engine.HeaderVersion, tt.stated)
				}

				if tt.status != 0 {
					w.Header().Set(engine.HeaderVerdict, "not-run")
					w.WriteHeader(tt.status)

					return
				}

				_, _ = fmt.Fprint(w, sse(int(tt.from), `{"id":"r-1"}`), sse(int(tt.from)+1, engine.Done))
			}))
			defer server.Close()

			var (
				events  int
				learned entity.SoftwareVersion
			)

			target := entity.Target{ID: "engine-1", Address: server.Listener.Addr().String()}
			req := engine.Request{
				ID: "r-1", Path: "/", Resume: tt.from > 0, ResumeFrom: tt.from, Version: tt.want,
				Stated: func(v entity.SoftwareVersion) { learned = v },
			}
			err := engine.NewClient(engine.Options{}).Stream(t.Context(), target, req, func(engine.Event) error {
				events++

				return nil
			})

			require.Equal(t, tt.learned, learned)

			if tt.code == "" {
				require.NoError(t, err)
				require.Equal(t, 1, events)

				return
			}

			require.Zero(t, events)
			require.Equal(t, tt.code, verdict.From(err).Code)
			require.Equal(t, tt.status != 0, verdict.Of(err) == verdict.NotRun)
		})
	}
}

func TestLoadReportStatesTheVersion(t *testing.T) {
	for stated, want := range map[string]entity.SoftwareVersion{"v1.2": "v1.2", "": "", "v 1": "", strings.Repeat("v", 65): ""} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = fmt.Fprintf(w, `{"at":"2030-01-01T00:00:00Z","version":%q}`, stated)
		}))
		t.Cleanup(server.Close)

		report, err := engine.NewClient(engine.Options{}).Load(t.Context(), entity.Target{ID: "engine-1", Address: server.Listener.Addr().String()})
		require.NoError(t, err)
		require.Equal(t, want, report.Version)
	}
}
