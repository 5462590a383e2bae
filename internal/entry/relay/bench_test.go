package relay_test

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/dotterelflow/dotterelflow/internal/entry/relay"
)

// eventReader yields n events, one at a time.
type eventReader struct{ n int }

func (r *eventReader) Read(p []byte) (int, error) {
	if r.n == 0 {
		return 0, io.EOF
	}

	r.n--

	return copy(p, "id: 1\ndata: x\n\n"), nil
}

type discardingReply struct{ replyRecorder }

func (*discardingReply) WriteEvent([]byte) error { return nil }

// BenchmarkEvent forwards one event of a resumable stream.
func BenchmarkEvent(b *testing.B) {
	fx := newFixture(b, resumable, 0)
	fx.targets.run = func(int, context.Context, relay.Send) (*relay.Answer, error) {
		return &relay.Answer{Status: 200, Body: io.NopCloser(&eventReader{b.N})}, nil
	}

	b.ReportAllocs()
	b.ResetTimer()
	fx.relay.Serve(b.Context(), &relay.Request{
		ID: "q", Host: "host", Path: "/p/x", Arrived: time.Now(), Timeout: time.Minute, Prompt: 100,
	}, &discardingReply{})
}
