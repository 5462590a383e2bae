package logging

import (
	"io"

	"github.com/phuslu/log"
)

// New returns a logger that writes JSON lines of the level and above to w, each with the host.
// An unknown level counts as "info".
func New(w io.Writer, level, host string) *log.Logger {
	return &log.Logger{
		Level:      log.ParseLevel(level),
		TimeField:  "time",
		TimeFormat: "2006-01-02T15:04:05.000Z07:00",
		Context:    log.NewContext(nil).Str("host", host).Value(),
		Writer:     log.IOWriter{Writer: w},
	}
}
