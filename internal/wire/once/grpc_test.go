package once_test

import (
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/net/http2"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/protobuf/types/known/emptypb"

	"github.com/dotterelflow/dotterelflow/internal/wire/once"
)

const retryPolicy = `{"methodConfig":[{"name":[{}],"retryPolicy":{"maxAttempts":3,"initialBackoff":"0.001s",` +
	`"maxBackoff":"0.001s","backoffMultiplier":1,"retryableStatusCodes":["UNAVAILABLE"]}}]}`

// dropper is an HTTP/2 server that reads a whole call, then closes the connection without an answer.
type dropper struct {
	address   string
	goAway    bool         // sends GOAWAY first, which states that no call was processed
	callsRead atomic.Int64 // calls read to their end
}

func newDropper(t *testing.T, goAway bool) *dropper {
	t.Helper()

	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })

	d := &dropper{address: ln.Addr().String(), goAway: goAway}

	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}

			go d.serve(conn)
		}
	}()

	return d
}

func (d *dropper) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()

	preface := make([]byte, len(http2.ClientPreface))
	if _, err := conn.Read(preface); err != nil {
		return
	}

	framer := http2.NewFramer(conn, conn)
	_ = framer.WriteSettings()

	for {
		f, err := framer.ReadFrame()
		if err != nil {
			return
		}

		data, ok := f.(*http2.DataFrame)
		if !ok || !data.StreamEnded() {
			continue
		}

		d.callsRead.Add(1)

		if d.goAway {
			_ = framer.WriteGoAway(0, http2.ErrCodeNo, nil)
		}

		return
	}
}

// TestGRPCCallReadThenDropped counts how often a server reads a call if it closes the connection instead of answering.
// With the options of package once, it reads the call once.
func TestGRPCCallReadThenDropped(t *testing.T) {
	tests := []struct {
		name    string
		goAway  bool
		opts    []grpc.DialOption
		retried bool // whether the server reads the call more than once
	}{
		{"library with a retry policy", false, []grpc.DialOption{grpc.WithDefaultServiceConfig(retryPolicy)}, true},
		{"library when the server sends GOAWAY", true, nil, true},
		{"retries disabled when the server sends GOAWAY", true, []grpc.DialOption{grpc.WithDisableRetry()}, true},
		{"once", false, once.DialOptions(), false},
		{"once with a retry policy", false, append(once.DialOptions(), grpc.WithDefaultServiceConfig(retryPolicy)), false},
		{"once when the server sends GOAWAY", true, once.DialOptions(), false},
	}

	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			d := newDropper(t, tt.goAway)
			opts := append(tt.opts, grpc.WithTransportCredentials(insecure.NewCredentials()))

			conn, err := grpc.NewClient("passthrough:///"+d.address, opts...)
			require.NoError(t, err)

			defer func() { _ = conn.Close() }()

			err = conn.Invoke(t.Context(), "/dotterelflow.Test/Run", new(emptypb.Empty), new(emptypb.Empty))
			require.Error(t, err)
			time.Sleep(20 * time.Millisecond)

			if tt.retried {
				require.Greater(t, d.callsRead.Load(), int64(1))
			} else {
				require.EqualValues(t, 1, d.callsRead.Load())
			}
		})
	}
}
