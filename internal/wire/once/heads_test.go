package once_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/standin/rawserver"
	"github.com/dotterelflow/dotterelflow/internal/wire/once"
	"github.com/dotterelflow/dotterelflow/internal/wire/verdict"
)

// answerWith returns an answer with a status line, a further line in its head and a body.
func answerWith(status, line, framing string) string {
	head, body := "HTTP/1.1 "+status+"\r\nX-Request-Id: q\r\n"+line, "body"

	switch framing {
	case "length":
		head += "Content-Length: 4\r\n"
	case "chunks":
		head, body = head+"Transfer-Encoding: chunked\r\n", "4\r\nbody\r\n0\r\n\r\n"
	}

	return head + "\r\n" + body
}

// TestHeadsThatAreNoneOfHTTPAreRefused guards against answers of targets in trouble that callers get with a status or a line that HTTP does not
// have, or with another body than the target's.
func TestHeadsThatAreNoneOfHTTPAreRefused(t *testing.T) {
	var heads [][2]string

	for _, status := range []string{"000", "001", "099", "20", "-20", "2e2", "0200", "2 0", "600 Odd", "999", "1000", "200 O\x01K", "200 O\x00K", "200 \x7f"} {
		heads = append(heads, [2]string{status, ""})
	}

	for _, name := range []string{
		"", "X Y", "X\tY", "X ", "X\x00", "X\x01", "X\x0b", "X\x0c", "X\x7f", "X\rY", "X(Y)", "X,Y", "Content Length", "Content-Length ", "X\"", "X\x80", "X/Y",
	} {
		heads = append(heads, [2]string{"200 OK", name + ": 1\r\n"}, [2]string{"503 Busy", name + ": 1\r\n"})
	}

	for _, value := range []string{"a\x00b", "a\x01b", "a\x0bb", "a\x7fb", "a\rb", "\x1b"} {
		heads = append(heads, [2]string{"200 OK", "X: " + value + "\r\n"})
	}

	heads = append(heads, [2]string{"200 OK", "no colon\r\n"}, [2]string{"200 OK", "HTTP/1.1 503 Busy\r\n"})

	for _, framing := range []string{"length", "chunks", "none"} {
		for _, head := range heads {
			t.Run(fmt.Sprintf("%s/%q", framing, head), func(t *testing.T) {
				s, err := rawserver.ServeInTurn(answerWith(head[0], head[1], framing))
				require.NoError(t, err)

				defer func() { _ = s.Close() }()

				c := once.NewClient(once.Options{})
				defer c.CloseIdleConnections()

				status, body, err := get(t.Context(), c, s.Address())
				require.Error(t, err, "%d %q", status, body)
				require.Equal(t, verdict.MayHaveRun, verdict.Of(err))
			})
		}
	}
}

// TestHeadsOfHTTPPass checks that the judge of heads lets through what HTTP has.
func TestHeadsOfHTTPPass(t *testing.T) {
	for _, framing := range []string{"length", "chunks"} {
		for _, head := range [][2]string{
			{"200", ""}, {"200 ", ""}, {"299 Fine", ""}, {"418 I'm a teapot", ""}, {"599 Odd", ""}, {"200 OK", "X: a\tb \xc3\xa9\r\n"}, {"200 OK", "X!#$%&'*+-.^_`|~9:\r\n"},
			{"500 \xe9chec", ""}, {"200 OK", "X: a\r\n b\r\n"},
		} {
			t.Run(fmt.Sprintf("%s/%q", framing, head), func(t *testing.T) {
				s, err := rawserver.ServeInTurn(answerWith(head[0], head[1], framing))
				require.NoError(t, err)

				defer func() { _ = s.Close() }()

				c := once.NewClient(once.Options{})
				defer c.CloseIdleConnections()

				status, body, err := get(t.Context(), c, s.Address())
				require.NoError(t, err)
				require.Equal(t, head[0][:3], fmt.Sprint(status))
				require.Equal(t, "body", string(body))
			})
		}
	}
}
