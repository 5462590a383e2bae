package logging

import (
	"io"

	"github.com/phuslu/log"
)

// New returns a logger that writes entries of at least the given level to w as JSON lines, each with the field host.
// An empty or unknown level writes nothing.
func New(w io.Writer, level, host string) *log.Logger {
	return &log.Logger{
		Level:      log.ParseLevel(level),
		TimeField:  "time",
		TimeFormat: "2006-01-02T15:04:05.000Z07:00",
		Context:    log.NewContext(nil).Str("host", host).Value(),
		Writer:     log.IOWriter{Writer: w},
	}
}
