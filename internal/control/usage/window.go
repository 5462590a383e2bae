package usage

import (
	"time"

	"github.com/dotterelflow/dotterelflow/internal/control/duties"
)

// WindowAt returns the window of the given length in which t lies.
func WindowAt(t time.Time, length time.Duration) duties.Window {
	return duties.Window(t.UnixNano() / int64(length))
}

// EndOf returns the end of the window w.
func EndOf(w duties.Window, length time.Duration) time.Time {
	return time.Unix(0, (int64(w)+1)*int64(length))
}
