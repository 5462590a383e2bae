package main_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	standin "github.com/dotterelflow/dotterelflow/internal/standin/engine"
	"github.com/dotterelflow/dotterelflow/internal/wire/caller"
	"github.com/dotterelflow/dotterelflow/internal/wire/engine"
)

const overheadConfiguration = `
templates:
  - name: desk
    kinds:
      - {name: note, model: m, deadline: 5m}
accounts:
  - {id: desk, template: desk, key-hashes: [%s]}
targets:
  - {id: engine-1, type: engine, data-centre: a, address: %s, model: m, role: mixed, slots: 64, prefill-rate: 1000000, decode-rate: 1000000}
`

// timeStream sends one streaming request to an engine or an entry host and returns the times to the first byte and
// to the end of the answer.
func timeStream(b *testing.B, client *http.Client, address string, tokens int) (first, total time.Duration) {
	b.Helper()

	body, err := json.Marshal(map[string]any{"model": "m", "prompt": "a short prompt", "max_tokens": tokens, "stream": true})
	require.NoError(b, err)

	r, err := http.NewRequestWithContext(b.Context(), http.MethodPost, "http://"+address+"/v1/completions", bytes.NewReader(body))
	require.NoError(b, err)

	r.Header.Set("Authorization", "Bearer desk-key")
	r.Header.Set(caller.HeaderKind, "note")
	r.Header.Set(engine.HeaderRequestID, uuid.NewString())

	start := time.Now()

	resp, err := client.Do(r)
	require.NoError(b, err)

	defer resp.Body.Close()

	firstByte := make([]byte, 1)
	_, err = io.ReadFull(resp.Body, firstByte)
	require.NoError(b, err)

	first = time.Since(start)

	rest, err := io.ReadAll(resp.Body)
	require.NoError(b, err)

	total = time.Since(start)
	text, complete := streamText(append(firstByte, rest...))
	require.True(b, complete, "the answer ends with %q", tail(rest))
	require.Equal(b, standin.Answer("a short prompt", tokens), text)

	return first, total
}

// BenchmarkOverhead sends one request at a time, alternately to a stand-in engine directly and through an entry host,
// each of which runs as a process. It reports the times of both ways, the ratio of their total times, and the processor
// time per request: that of the host, and that of the engine for a direct request. At 1 us between tokens, one write
// carries many tokens; at 2 ms, each token is written alone.
func BenchmarkOverhead(b *testing.B) {
	for _, size := range []struct {
		tokenTime string // time between tokens
		tokens    int
	}{
		{"1us", 1}, {"1us", 64}, {"1us", 256}, {"1us", 1024},
		{"2ms", 16}, {"2ms", 64}, {"2ms", 256},
	} {
		tokens := size.tokens

		b.Run(fmt.Sprintf("every=%s/tokens=%d", size.tokenTime, tokens), func(b *testing.B) {
			f := &fleet{}
			_, f.platformAddress = startStandin(b, "platform")
			target, address := startStandin(b, "engine", "--token-time", size.tokenTime)
			f.apply(b, fmt.Sprintf(overheadConfiguration, entity.HashKey("desk-key"), address))

			h := f.startHost(b, "entry-1", "a")
			h.waitReady(b)

			client := &http.Client{Timeout: answerTimeout}
			defer client.CloseIdleConnections()

			var (
				direct, through struct{ first, total, cpu time.Duration }
				hostCPU         time.Duration
			)

			for b.Loop() {
				engineCPUBefore := target.cpuTime(b)
				first, total := timeStream(b, client, address, tokens)
				direct.first += first
				direct.total += total
				direct.cpu += target.cpuTime(b) - engineCPUBefore

				hostCPUBefore := h.cpuTime(b)
				first, total = timeStream(b, client, h.caller, tokens)
				through.first += first
				through.total += total
				hostCPU += h.cpuTime(b) - hostCPUBefore
			}

			perRequest := func(d time.Duration) float64 { return float64(d.Microseconds()) / float64(b.N) }

			b.ReportMetric(perRequest(direct.first), "direct-first-us")
			b.ReportMetric(perRequest(through.first), "host-first-us")
			b.ReportMetric(perRequest(direct.total), "direct-us")
			b.ReportMetric(perRequest(through.total), "host-us")
			b.ReportMetric(float64(through.total)/float64(direct.total), "ratio")
			b.ReportMetric(perRequest(hostCPU), "host-cpu-us")
			b.ReportMetric(perRequest(direct.cpu), "engine-cpu-us")
		})
	}
}

// tail returns the last bytes of answer, short enough for an error message.
func tail(answer []byte) []byte {
	const maxBytes = 300

	return answer[max(0, len(answer)-maxBytes):]
}
