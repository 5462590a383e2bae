package platform_test

import (
	"context"
	"errors"
	"io"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/standin/rawserver"
	"github.com/dotterelflow/dotterelflow/internal/wire/platform"
)

const (
	okHeader     = "HTTP/1.1 200 OK\r\n\r\n"
	maxAllocated = 64 << 20 // limit on the bytes allocated for one hostile answer
	timeout      = 2 * time.Second
)

func serveHostile(t testing.TB) (*rawserver.Server, *platform.Client) {
	t.Helper()

	s, err := rawserver.Serve()
	require.NoError(t, err)
	t.Cleanup(func() { _ = s.Close() })

	return s, platform.NewClient(s.Address(), platform.Options{Timeout: timeout})
}

func TestHostileReads(t *testing.T) {
	for _, raw := range []string{
		"", okHeader, okHeader + "[", okHeader + `{"version":-1}`, okHeader + `{"version":"1"}`, okHeader + `{"key":"other","version":3}`,
		okHeader + `{"key":"k","version":1e99}`, okHeader + `{"key":"k","version":1,"value":"not base64!"}`,
		"HTTP/1.1 302 Away\r\nLocation: /objects/other\r\n\r\n", "HTTP/1.1 500 No\r\n\r\n{}",
	} {
		s, c := serveHostile(t)
		s.SetAnswerBytes([]byte(raw))

		_, err := c.Get(t.Context(), "k")
		require.ErrorIs(t, err, platform.ErrUnavailable, raw)
		require.Equal(t, 1, s.Requests(), raw)
	}
}

// TestHostileWrites checks that the outcome of a write is unknown unless a complete answer confirms that write.
func TestHostileWrites(t *testing.T) {
	for _, raw := range []string{
		"", okHeader, okHeader + "{}", okHeader + "null", okHeader + `{"key":"k","version":0}`, okHeader + `{"key":"other","version":9}`,
		okHeader + `{"key":"k","version":7}`, okHeader + `{"key":"k","version":9`, "HTTP/1.1 500 No\r\n\r\n", "HTTP/1.1 404 No\r\n\r\n",
		"HTTP/1.1 302 Away\r\nLocation: /objects/k\r\n\r\n", "HTTP/1.1 307 Away\r\nLocation: /objects/k\r\n\r\n",
	} {
		s, c := serveHostile(t)
		s.SetAnswerBytes([]byte(raw))

		_, err := c.Put(t.Context(), "k", 7, []byte("v"))
		require.ErrorIs(t, err, platform.ErrUnknown, raw)
		require.Equal(t, 1, s.Requests(), raw)
	}
}

func TestHostileWatchIsBounded(t *testing.T) {
	endless := func(start, piece string) func(io.Writer) {
		return func(w io.Writer) {
			_, err := io.WriteString(w, okHeader+start)
			for range 1 << 13 { // 512 MiB in all
				if err != nil {
					return
				}

				_, err = io.WriteString(w, piece)
			}
		}
	}

	big := strings.Repeat("x", 1<<16)

	for name, answer := range map[string]func(io.Writer){
		"endless value":  endless(`{"key":"k","version":1,"value":"`, big),
		"endless key":    endless(`{"`, big),
		"endless space":  endless("", strings.Repeat(" ", 1<<16)),
		"endless header": endless("HTTP/1.1 200 OK\r\nX: ", big),
	} {
		t.Run(name, func(t *testing.T) {
			s, c := serveHostile(t)
			s.SetAnswer(answer)

			var before, after runtime.MemStats

			runtime.ReadMemStats(&before)

			events, err := c.Watch(t.Context(), "")
			if err == nil {
				for range events {
					require.Fail(t, "an event arrived")
				}
			}

			runtime.ReadMemStats(&after)
			require.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(maxAllocated))
		})
	}
}

func TestTruncatedWatchEnds(t *testing.T) {
	s, c := serveHostile(t)
	s.SetAnswerBytes([]byte(okHeader + `{"key":"k","version":1}` + "\n" + `{"key":"k","ver`))

	events, err := c.Watch(t.Context(), "")
	require.NoError(t, err)

	var got []platform.Object
	for o := range events {
		got = append(got, o)
	}

	require.Equal(t, []platform.Object{{Key: "k", Version: 1}}, got)
}

func FuzzPlatformAnswer(f *testing.F) {
	for _, body := range []string{
		"", "{}", "null", "[]", `{"key":"k","version":8,"value":"dg=="}`, `[{"key":"k","version":8},{"key":"k","version":7}]`,
		`{"key":"k","version":-1}`, `[{"address":"127.0.0.1:1","state":"live","since":"2030-01-01T00:00:00Z"}]`, "\xff\x00", `{"key":"k","version":8}{"key":`,
	} {
		f.Add(okHeader, body)
	}

	f.Add("HTTP/1.1 412 Conflict\r\n\r\n", "")
	f.Add("HTTP/1.1 503 Busy\r\n\r\n", "{}")
	f.Add("HTTP/1.1 302 Away\r\nLocation: /objects/k\r\n\r\n", `{"key":"k","version":8}`)

	s, c := serveHostile(f)

	f.Fuzz(func(t *testing.T, head, body string) {
		s.SetAnswerBytes([]byte(head + body))

		ctx, cancel := context.WithTimeout(t.Context(), timeout)
		defer cancel()

		if o, err := c.Get(ctx, "k"); err != nil {
			require.ErrorIs(t, err, platform.ErrUnavailable)
		} else {
			require.True(t, o.Key == "k" || o.Version == 0)
		}

		if version, err := c.Put(ctx, "k", 7, []byte("v")); err == nil {
			require.Greater(t, version, platform.Version(7))
		} else {
			require.True(t, isOutcome(err), "%v", err)
		}

		if err := c.Delete(ctx, "k", 7); err != nil {
			require.True(t, isOutcome(err), "%v", err)
		}

		_, _ = c.List(ctx, "")
		_, _ = c.Hosts(ctx)

		events, err := c.Watch(ctx, "")
		if err != nil {
			return
		}

		for range events {
		}
	})
}

// isOutcome reports whether err is one of the errors that callers distinguish.
func isOutcome(err error) bool {
	for _, want := range []error{platform.ErrConflict, platform.ErrUnavailable, platform.ErrUnknown, platform.ErrTooLarge} {
		if errors.Is(err, want) {
			return true
		}
	}

	return false
}
