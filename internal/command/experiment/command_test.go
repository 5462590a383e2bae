package experiment_test

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/command/experiment"
)

func run(t *testing.T, args ...string) (string, error) {
	t.Helper()

	var out bytes.Buffer

	cmd := experiment.Command(experiment.Sheets{})
	cmd.Writer = &out
	err := cmd.Run(t.Context(), append([]string{"experiment"}, args...))

	return out.String(), err
}

func TestRolesRejectsBadArguments(t *testing.T) {
	_, err := run(t, "roles", "--format", "xml")
	require.ErrorContains(t, err, "unknown format")

	_, err = run(t, "roles", "--deployment", "other")
	require.ErrorContains(t, err, "unknown deployment")
}

func TestRolesWritesJSONAndPlot(t *testing.T) {
	if testing.Short() {
		t.Skip("runs all policies")
	}

	for _, ext := range []string{".svg", ".png"} {
		file := filepath.Join(t.TempDir(), "roles"+ext)
		out, err := run(t, "roles", "--deployment", "qafzeh", "--seeds", "1", "--format", "json", "--plot", file)
		require.NoError(t, err)

		var report struct {
			Deployment string
			Results    []struct{ Policy string }
		}

		require.NoError(t, json.Unmarshal([]byte(out), &report))
		require.Equal(t, "qafzeh", report.Deployment)
		require.Len(t, report.Results, 6)

		info, err := os.Stat(file)
		require.NoError(t, err)
		require.Positive(t, info.Size())
	}
}
