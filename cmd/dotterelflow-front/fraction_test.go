package main_test

import (
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"github.com/stretchr/testify/require"
)

// TestProgramStartsWithFractionsInItsSettings guards against processes that never start again once a figure of their settings has
// become a fraction, which a running process only logged.
func TestProgramStartsWithFractionsInItsSettings(t *testing.T) {
	t.Parallel()

	path, settings := buildProgram(t), filepath.Join(t.TempDir(), "local.toml")
	replace(t, settings, firstStore)

	p := runProgram(t, path, settings)
	p.waitFor(startedLine)

	fractions := strings.NewReplacer(
		"[bounds]\n", "[bounds]\ndrain_ms = 2500.5\nlease_ms = 3000.25\n", "grace_s = 6\n", "grace_s = 6.5\n",
		"zone = \"z0\"\n", "zone = \"z0\"\nheartbeat_ms = 1200.5\n", "[platform]\n", "[limits]\nmemory_mb = 284.5\n[platform]\n",
	).Replace(settingsWith(secondStore))
	require.NoError(t, os.WriteFile(settings+".new", []byte(fractions), 0o600))
	require.NoError(t, os.Rename(settings+".new", settings))

	p.signal(syscall.SIGHUP)
	p.waitFor(changedLine)

	runProgram(t, path, settings).waitFor(startedLine)
}
