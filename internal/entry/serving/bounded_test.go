package serving_test

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/entry/serving"
)

func TestMuteConnectionsGiveWay(t *testing.T) {
	tcp, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)

	l := serving.NewBoundedListener(tcp, 2)
	t.Cleanup(func() { _ = l.Close() })

	connect := func() (client, server net.Conn) {
		client, err := net.Dial("tcp4", l.Addr().String())
		require.NoError(t, err)
		t.Cleanup(func() { _ = client.Close() })

		accepted := make(chan net.Conn, 1)

		go func() {
			if c, err := l.Accept(); err == nil {
				accepted <- c
			}
		}()

		select {
		case server = <-accepted:
			t.Cleanup(func() { _ = server.Close() })
		case <-time.After(200 * time.Millisecond): // it was closed, and the listener accepts the next one
		}

		return client, server
	}
	speak := func(client, server net.Conn) {
		_, err := io.WriteString(client, "x")
		require.NoError(t, err)
		_, err = server.Read(make([]byte, 1))
		require.NoError(t, err)
	}

	mute, _ := connect()
	client, server := connect()
	speak(client, server)

	second, secondServer := connect()
	_, err = mute.Read(make([]byte, 1))
	require.Error(t, err, "the mute one gives way")
	speak(second, secondServer)

	third, thirdServer := connect()
	require.Nil(t, thirdServer, "no connection is mute but the new one")
	_, err = third.Read(make([]byte, 1))
	require.Error(t, err)

	speak(client, server)
	speak(second, secondServer)
	require.EqualValues(t, 2, l.Crowded())
}
