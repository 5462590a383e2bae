package logging

import (
	stdlog "log"

	"github.com/phuslu/log"
)

// maxStandardBytes bounds a message of the standard logger. net/http quotes up to 4 KiB that a server has sent, in which
// each byte can take four.
const maxStandardBytes = 2 << 10

// RedirectStandard makes the standard logger, which net/http uses, write to l. Its messages get the level Info and are cut
// at 2 KiB.
func RedirectStandard(l *log.Logger) {
	stdlog.SetFlags(0)
	stdlog.SetOutput(standardWriter{l})
}

type standardWriter struct{ l *log.Logger }

func (s standardWriter) Write(p []byte) (int, error) {
	s.l.Info().Bool("cut", len(p) > maxStandardBytes).Bytes("text", p[:min(len(p), maxStandardBytes)]).Msg("standard log")

	return len(p), nil
}
