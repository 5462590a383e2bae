package caller_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/entry/answers"
	"github.com/dotterelflow/dotterelflow/internal/wire/caller"
)

func TestStreamGoesOnOnlyForEventsOfItsVersion(t *testing.T) {
	for name, tt := range map[string]struct {
		version entity.SoftwareVersion // of the answer that is held
		seen    string                 // Last-Event-ID
		status  int
		want    string // part of the response
	}{
		"from the start":         {version: "v1", status: http.StatusOK, want: "id: 0@v1\n"},
		"same version":           {version: "v1", seen: "0@v1", status: http.StatusOK, want: "id: 1@v1\n"},
		"other version":          {version: "v1", seen: "0@v2", status: http.StatusServiceUnavailable, want: `"other-version"`},
		"other version, all":     {version: "v1", seen: "1@v2", status: http.StatusServiceUnavailable, want: `"other-version"`},
		"no version":             {seen: "0", status: http.StatusOK, want: "id: 1\n"},
		"first without, now one": {version: "v1", seen: "0", status: http.StatusServiceUnavailable, want: `"other-version"`},
		"first one, now without": {seen: "0@v1", status: http.StatusServiceUnavailable, want: `"other-version"`},
		"no id of an event":      {version: "v1", seen: "0@v 1", status: http.StatusBadRequest, want: `"bad-request"`},
	} {
		t.Run(name, func(t *testing.T) {
			s := newTestServer(t, caller.Options{Clock: clockwork.NewFakeClockAt(startTime)}, fakes{run: func(_ context.Context, req entity.Request, ans *answers.Answer) {
				ans.SetMeta(answers.Meta{Target: "engine-1", Version: tt.version})
				ans.Append(event(req, "one "))
				ans.Append(lastEvent(req))
				ans.Finish(nil)
			}})

			send := func(seen string) (int, string) {
				r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, s.url+textPath, strings.NewReader(text("m", "hello", true)))
				require.NoError(t, err)

				for line := range strings.Lines(bearer + keyAt(0, 1)) {
					header, value, _ := strings.Cut(strings.TrimSpace(line), ": ")
					r.Header.Set(header, value)
				}

				if seen != "" {
					r.Header.Set(caller.HeaderResume, seen)
				}

				resp, err := s.client.Do(r)
				require.NoError(t, err)

				defer func() { _ = resp.Body.Close() }()

				body, err := io.ReadAll(resp.Body)
				require.NoError(t, err)

				if len(s.outcomes) > 0 {
					s.outcome(t)
				}

				return resp.StatusCode, string(body)
			}

			first, _ := send("")
			require.Equal(t, http.StatusOK, first)

			status, body := send(tt.seen)
			require.Equal(t, tt.status, status, body)
			require.Contains(t, body, tt.want)
		})
	}
}
