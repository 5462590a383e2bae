package burnreport

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"

	"github.com/dotterelflow/dotterelflow/internal/measure/burnrate"
)

// JSON writes r as indented JSON.
func JSON(w io.Writer, r burnrate.Report) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")

	return Error.Wrap(enc.Encode(r))
}

// Text writes r as plain text for a terminal.
func Text(w io.Writer, r burnrate.Report) error {
	var b strings.Builder

	fmt.Fprintf(&b, "Service-level burn, %s UTC\n\n%s\n%s\n", r.At.UTC().Format(timeLayout), headline(r), totals(r))

	if gap := gaps(r); gap != "" {
		fmt.Fprintln(&b, gap)
	}

	for _, s := range notOK(r) {
		fmt.Fprintf(&b, "\n%s / %s: %s\n", replaceControl(string(s.Account)), replaceControl(string(s.Kind)), s.State)

		for _, line := range sentences(s) {
			fmt.Fprintf(&b, "  %s\n", line)
		}

		fmt.Fprintf(&b, "  Burn rate:")

		for _, win := range s.Windows {
			fmt.Fprintf(&b, "  %s %.2f", spanName(win.Span), win.Burn)
		}

		fmt.Fprintln(&b)
	}

	fmt.Fprintf(&b, "\nA burn rate of 1 uses the error budget just up; above 1 the objective is missed.\n")

	_, err := io.WriteString(w, b.String())

	return Error.Wrap(err)
}

// replaceControl replaces the ASCII control characters of a name, which could change the state of the
// terminal.
func replaceControl(name string) string {
	return strings.Map(func(r rune) rune {
		if r < ' ' || r == 0x7f {
			return '?'
		}

		return r
	}, name)
}
