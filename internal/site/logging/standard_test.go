package logging_test

import (
	"bytes"
	stdlog "log"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/site/logging"
)

func TestStandardLogIsRedirectedAndCut(t *testing.T) {
	flags := stdlog.Flags()

	defer func() {
		stdlog.SetFlags(flags)
		stdlog.SetOutput(os.Stderr)
	}()

	var out bytes.Buffer

	logging.RedirectStandard(logging.New(&out, "info", "h1"))
	stdlog.Printf("a server has sent %q", "x\n")
	stdlog.Printf("a server has sent %q", strings.Repeat("\x00", 4<<10))

	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	require.Len(t, lines, 2)
	require.Contains(t, lines[0], `a server has sent`)
	require.Contains(t, lines[0], `"cut":false`)
	require.Contains(t, lines[1], `"cut":true`)
	require.Less(t, len(lines[1]), 5<<10)
}
