package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"time"
)

// answer is what a client received for one request.
type answer struct {
	status int    // zero if the channel ended without an answer
	body   string // what was received of it
	signed bool   // it has the replica's signature
	sent   bool   // the whole request was written
	err    error
	took   time.Duration
}

func (a answer) String() string {
	if a.err != nil {
		return fmt.Sprintf("no whole answer after %v (sent: %v): %v", a.took.Round(time.Millisecond), a.sent, a.err)
	}

	return fmt.Sprintf("status %d after %v", a.status, a.took.Round(time.Millisecond))
}

// channel is a channel that a client keeps open.
type channel struct {
	net.Conn
	r *bufio.Reader
}

func openChannel(address string) (*channel, error) {
	c, err := net.DialTimeout("tcp4", address, time.Second) // clients allow a new channel one second
	if err != nil {
		return nil, err
	}

	return &channel{c, bufio.NewReader(c)}, nil
}

// do sends one request and reads its answer until its time limit has passed. rate is how many bytes of the body are sent in a second,
// zero for no bound.
func (c *channel) do(method, target, id string, limit time.Duration, body []byte, rate int) answer {
	began := time.Now()
	_ = c.SetDeadline(began.Add(limit + 500*time.Millisecond)) // an error shows in the write

	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: h.example\r\n%s: %s\r\n%s: %d\r\nContent-Length: %d\r\n\r\n",
		method, target, fieldRequestID, id, fieldDeadline, limit.Milliseconds(), len(body))

	a := answer{}

	if _, a.err = io.WriteString(c, head); a.err == nil {
		a.err = c.send(body, rate)
	}

	a.sent = a.err == nil

	// A host may answer before it has read the whole request.
	resp, err := http.ReadResponse(c.r, &http.Request{Method: method})
	if err == nil {
		var content []byte

		content, err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		a.status, a.body, a.signed = resp.StatusCode, string(content), resp.Header.Get(fieldSignature) != ""
	}

	a.err, a.took = err, time.Since(began)

	return a
}

// sendInterval is the time between two parts of a body that is sent at a bounded rate.
const sendInterval = 20 * time.Millisecond

func (c *channel) send(body []byte, rate int) error {
	if rate == 0 {
		_, err := c.Write(body)

		return err
	}

	part := max(int(float64(rate)*sendInterval.Seconds()), 1)
	began := time.Now()

	for sent := 0; sent < len(body); {
		n := min(part, len(body)-sent)
		if _, err := c.Write(body[sent : sent+n]); err != nil {
			return err
		}

		sent += n

		time.Sleep(time.Until(began.Add(time.Duration(float64(sent) / float64(rate) * float64(time.Second)))))
	}

	return nil
}

// timedOut reports whether the client has left because its time limit had passed.
func (a answer) timedOut() bool { return os.IsTimeout(a.err) }
