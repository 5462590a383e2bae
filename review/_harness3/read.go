package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
)

// read reads the answer from conn. whole is set if it ends as complete.
func (s *stream) read(conn net.Conn, onEvent func(n int)) {
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		s.err = err

		return
	}

	defer func() { _ = resp.Body.Close() }()

	s.status = resp.StatusCode
	if s.status != http.StatusOK {
		return
	}

	id := 0
	lines := bufio.NewScanner(resp.Body)

	for lines.Scan() {
		line := lines.Text()

		switch {
		case strings.HasPrefix(line, "id:"):
			_, _ = fmt.Sscan(line[3:], &id)
		case strings.HasPrefix(line, "data:"):
			var n int

			_, _ = fmt.Sscanf(line, "data: piece %d of %s at %s", &n, &s.service, &s.version)
		case line == "" && id > 0:
			s.last = id
			s.pieces = append(s.pieces, id)

			if onEvent != nil {
				onEvent(id)
			}

			id = 0
		}
	}

	s.err = lines.Err()
	s.whole = s.err == nil
}
