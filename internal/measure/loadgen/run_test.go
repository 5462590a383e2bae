package loadgen_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/measure/loadgen"
	"github.com/dotterelflow/dotterelflow/internal/measure/trace"
	"github.com/dotterelflow/dotterelflow/internal/standin/engine"
)

// arrivals returns n arrivals of the first kind, with the time every between them.
func arrivals(n int, every time.Duration) []trace.Arrival {
	var all []trace.Arrival

	for i := range n {
		all = append(all, trace.Arrival{
			At: time.Duration(i) * every, Request: entity.RequestID(fmt.Sprint("r", i)), Prefill: 10, Decode: 4,
		})
	}

	return all
}

// options returns options to send ten requests of one kind to address within a tenth of a second.
func options(address string) loadgen.Options {
	note := trace.Kind{Kind: entity.Kind{
		Name: "note", Model: "m", Deadline: time.Minute, Objective: entity.Objective{Total: time.Minute},
	}}

	return loadgen.Options{
		Addresses: []string{address}, Keys: []loadgen.Key{{Bearer: "key"}}, Kinds: []trace.Kind{note},
		Arrivals: arrivals(10, 10*time.Millisecond), Duration: time.Second,
	}
}

// serve starts a server that answers like an engine, with each stream altered by change, and returns its address.
func serve(t *testing.T, change func(string) string) string {
	t.Helper()

	target := engine.NewServer(engine.Options{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		rec := httptest.NewRecorder()
		target.ServeHTTP(rec, r)

		w.WriteHeader(rec.Code)
		_, _ = w.Write([]byte(change(rec.Body.String())))
	}))
	t.Cleanup(server.Close)

	return server.Listener.Addr().String()
}

func TestAnswersAreChecked(t *testing.T) {
	tests := []struct {
		name         string
		change       func(string) string
		whole, wrong int
	}{
		{"whole", func(s string) string { return s }, 10, 0},
		{"a token missing", func(s string) string { return strings.Replace(s, ".2 ", "", 1) }, 0, 10},
		{"no end", func(s string) string { return strings.Replace(s, "[DONE]", "", 1) }, 0, 0},
		{"a problem at the end", func(s string) string {
			return strings.Replace(s, "data: [DONE]", `event: error`+"\n"+`data: {"error":{"verdict":"may-have-run","code":"truncated"}}`, 1)
		}, 0, 0},
	}

	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r, err := loadgen.Run(t.Context(), options(serve(t, tt.change)))
			require.NoError(t, err)
			require.Equal(t, 10, r.All.Offered)
			require.Equal(t, tt.whole, r.All.Whole)
			require.Equal(t, tt.whole, r.All.Good)
			require.Equal(t, tt.wrong, r.All.Wrong)
			require.Equal(t, tt.whole == 0, len(r.Problems) == 1)
		})
	}
}

func TestLateAnswersAreNotGood(t *testing.T) {
	o := options(serve(t, func(s string) string { return s }))
	o.Kinds[0].Objective.FirstToken = time.Nanosecond

	r, err := loadgen.Run(t.Context(), o)
	require.NoError(t, err)
	require.Equal(t, 10, r.All.Whole)
	require.Zero(t, r.All.Good)
}

func TestRunsAreBounded(t *testing.T) {
	tests := map[string]func(*loadgen.Options){
		"not loopback":  func(o *loadgen.Options) { o.Addresses = []string{"192.0.2.1:80"} },
		"host name":     func(o *loadgen.Options) { o.Addresses = []string{"localhost:80"} },
		"too long":      func(o *loadgen.Options) { o.Duration = loadgen.MaxDuration + 1 },
		"too fast":      func(o *loadgen.Options) { o.Rate = loadgen.MaxRate + 1 },
		"no key":        func(o *loadgen.Options) { o.Keys = nil },
		"unknown kinds": func(o *loadgen.Options) { o.Kinds = nil },
	}

	for name, modify := range tests {
		t.Run(name, func(t *testing.T) {
			o := options("127.0.0.1:1")
			modify(&o)

			_, err := loadgen.Run(t.Context(), o)
			require.Error(t, err)
		})
	}
}

func TestRateStretchesTheTrace(t *testing.T) {
	o := options(serve(t, func(s string) string { return s }))
	o.Arrivals = arrivals(1000, time.Second)
	o.Rate = 100
	o.Duration = 500 * time.Millisecond

	r, err := loadgen.Run(t.Context(), o)
	require.NoError(t, err)
	require.InDelta(t, 50, r.All.Offered, 1)
}

func TestKindsWithoutKeyAreNotSent(t *testing.T) {
	o := options("127.0.0.1:1")
	o.Keys[0].Kinds = []entity.KindName{"other"}

	r, err := loadgen.Run(t.Context(), o)
	require.NoError(t, err)
	require.Zero(t, r.All.Offered)
}
