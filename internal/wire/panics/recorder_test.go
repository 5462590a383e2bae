package panics_test

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"

	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/wire/panics"
	"github.com/dotterelflow/dotterelflow/internal/wire/verdict"
)

const maxLineBytes = 64 << 10

// sink keeps the recursion of panicDeep from being optimised away.
var sink int

func panicDeep(depth int, v any) {
	if depth == 0 {
		panic(v)
	}

	panicDeep(depth-1, v)

	sink++
}

func TestRecordOfAPanicIsBounded(t *testing.T) {
	for name, tt := range map[string]struct {
		depth int
		value any
	}{
		"deep stack":  {depth: 10_000, value: "fault"},
		"large value": {value: strings.Repeat("fault ", 1<<20)},
	} {
		t.Run(name, func(t *testing.T) {
			var (
				logged  bytes.Buffer
				problem *verdict.Error
				r       = panics.New(&log.Logger{Writer: &log.IOWriter{Writer: &logged}}, metrics.NewRegistry())
			)

			func() {
				defer r.Recover("q", func(p *verdict.Error) { problem = p })

				panicDeep(tt.depth, tt.value)
			}()

			require.Equal(t, verdict.MayHaveRun, problem.Verdict)
			require.Equal(t, verdict.CodeInternal, problem.Code)
			require.NotContains(t, problem.Message, "fault")
			require.Equal(t, int64(1), r.Count.Count())

			var line struct{ Request, Panic, Stack string }

			require.Less(t, logged.Len(), maxLineBytes)
			require.NoError(t, json.Unmarshal(logged.Bytes(), &line))
			require.Equal(t, "q", line.Request)
			require.Contains(t, line.Panic, "fault")
			require.Contains(t, line.Stack, "panicDeep")
		})
	}
}

func TestNothingIsRecordedWithoutAPanic(t *testing.T) {
	r := panics.New(nil, metrics.NewRegistry())

	func() {
		defer r.Recover("q", func(*verdict.Error) { t.Error("called") })
	}()

	require.Zero(t, r.Count.Count())
}
