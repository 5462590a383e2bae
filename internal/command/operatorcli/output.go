package operatorcli

import (
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/urfave/cli/v3"
)

const columnGap = 2

// Print writes to the root command's Writer: v as JSON if --format is json, else what text writes.
func Print(cmd *cli.Command, v any, text func(w io.Writer)) error {
	w := cmd.Root().Writer

	if cmd.String("format") == FormatJSON {
		enc := json.NewEncoder(w)
		enc.SetIndent("", "  ")

		return enc.Encode(v)
	}

	text(w)

	return nil
}

// Table writes header and, by calls of row, the given number of rows in aligned columns. Tabs separate the
// columns in header and in what row writes.
func Table(w io.Writer, header string, rows int, row func(w io.Writer, i int)) {
	t := tabwriter.NewWriter(w, 0, 0, columnGap, ' ', 0)

	_, _ = fmt.Fprintln(t, header)

	for i := range rows {
		row(t, i)
	}

	_ = t.Flush()
}
