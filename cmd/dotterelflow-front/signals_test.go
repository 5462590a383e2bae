package main_test

import (
	"bufio"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/standin/procfs"
)

const (
	// waitLimit bounds each wait for a process, far beyond what one takes.
	waitLimit = 30 * time.Second

	startCount = 20 // starts of the program in one test

	firstStore  = "127.0.0.1:1"
	secondStore = "127.0.0.1:2"

	startedLine  = `"message":"started"`
	reloadedLine = `"message":"settings reloaded"`
	// changedLine is logged by a reload that applies another address of the store than that of the start.
	changedLine = "settings changed an address"
)

// program is a running process of the program under test.
type program struct {
	t        *testing.T
	settings string
	cmd      *exec.Cmd
	exited   chan struct{}

	mu    sync.Mutex
	lines []string
}

func buildProgram(t *testing.T) string {
	t.Helper()

	path := filepath.Join(t.TempDir(), "dotterelflow-front")
	out, err := exec.CommandContext(t.Context(), "go", "build", "-o", path, ".").CombinedOutput()
	require.NoError(t, err, string(out))

	return path
}

// runProgram starts the program at path with the settings file at settings.
func runProgram(t *testing.T, path, settings string) *program {
	t.Helper()

	p := &program{t: t, settings: settings, cmd: exec.CommandContext(t.Context(), path, "--settings", settings), exited: make(chan struct{})}

	out, err := p.cmd.StdoutPipe()
	require.NoError(t, err)

	p.cmd.Stderr = p.cmd.Stdout
	require.NoError(t, p.cmd.Start())

	go func() {
		defer close(p.exited)

		for s := bufio.NewScanner(out); s.Scan(); {
			p.mu.Lock()
			p.lines = append(p.lines, s.Text())
			p.mu.Unlock()
		}

		_ = p.cmd.Wait() // tests look at ProcessState
	}()

	t.Cleanup(func() {
		if err := p.cmd.Process.Kill(); err != nil && !errors.Is(err, os.ErrProcessDone) {
			t.Error(err)
		}

		<-p.exited
	})

	return p
}

func (p *program) signal(s syscall.Signal) { require.NoError(p.t, p.cmd.Process.Signal(s)) }

func (p *program) output() []string {
	p.mu.Lock()
	defer p.mu.Unlock()

	return slices.Clone(p.lines)
}

// waitFor waits until the program has printed a line that contains text. The test fails at once if the program ends before.
func (p *program) waitFor(text string) {
	p.t.Helper()

	printed := func() bool {
		return slices.ContainsFunc(p.output(), func(line string) bool { return strings.Contains(line, text) })
	}

	for end := time.Now().Add(waitLimit); !printed(); {
		select {
		case <-p.exited:
			require.True(p.t, printed(), "ended with %v without %q:\n%s", p.cmd.ProcessState, text, strings.Join(p.output(), "\n"))
		case <-time.After(time.Millisecond):
			require.Less(p.t, time.Now(), end, "no %q:\n%s", text, strings.Join(p.output(), "\n"))
		}
	}
}

// openForWriting waits until the program has opened the FIFO at its settings' path for reading, and opens the other end.
func (p *program) openForWriting() *os.File {
	p.t.Helper()

	var fifo *os.File

	require.Eventually(p.t, func() bool {
		f, err := os.OpenFile(p.settings, os.O_WRONLY|syscall.O_NONBLOCK, 0)
		if err != nil && !errors.Is(err, syscall.ENXIO) {
			p.t.Error(err)
		}

		fifo = f

		return err == nil
	}, waitLimit, time.Millisecond)

	return fifo
}

func settingsWith(store string) string {
	return fmt.Sprintf(`node = "h0"
ip = "127.0.0.1"
zone = "z0"
bootstrap = true
[listen]
front = "127.0.0.1:0"
ready_address = "127.0.0.1:0"
control = "127.0.0.1:0"
[bounds]
grace_s = 6
[platform]
address = %q
`, store)
}

// replace puts settings that name store in the place of the file at path.
func replace(t *testing.T, path, store string) {
	t.Helper()

	replacement := path + ".new"
	require.NoError(t, os.WriteFile(replacement, []byte(settingsWith(store)), 0o600))
	require.NoError(t, os.Rename(replacement, path))
}

// replaceWithFIFO puts a FIFO in the place of the file at path.
func replaceWithFIFO(t *testing.T, path string) {
	t.Helper()

	replacement := path + ".new"
	require.NoError(t, syscall.Mkfifo(replacement, 0o600))
	require.NoError(t, os.Rename(replacement, path))
}

// TestStopBehindReloadsTakesEffect sends SIGTERM while a reload is under way and the next one waits.
func TestStopBehindReloadsTakesEffect(t *testing.T) {
	t.Parallel()

	settings := filepath.Join(t.TempDir(), "local.toml")
	replace(t, settings, firstStore)

	p := runProgram(t, buildProgram(t), settings)
	p.waitFor(startedLine)

	replaceWithFIFO(t, settings)
	p.signal(syscall.SIGHUP)

	fifo := p.openForWriting()
	replace(t, settings, secondStore)
	p.signal(syscall.SIGHUP)
	p.signal(syscall.SIGTERM)

	_, err := fifo.WriteString(settingsWith(firstStore))
	require.NoError(t, err)
	require.NoError(t, fifo.Close())

	select {
	case <-p.exited:
	case <-time.After(waitLimit):
		t.Fatalf("SIGTERM was lost:\n%s", strings.Join(p.output(), "\n"))
	}

	require.Zero(t, p.cmd.ProcessState.ExitCode(), "%v:\n%s", p.cmd.ProcessState, strings.Join(p.output(), "\n"))
}

// TestReloadDuringTheStartIsAppliedAfterIt sends SIGHUP while the program reads its settings for the first time.
func TestReloadDuringTheStartIsAppliedAfterIt(t *testing.T) {
	t.Parallel()

	path := buildProgram(t)

	for range startCount {
		settings := filepath.Join(t.TempDir(), "local.toml")
		replaceWithFIFO(t, settings)

		p := runProgram(t, path, settings)
		fifo := p.openForWriting()

		replace(t, settings, secondStore)
		p.signal(syscall.SIGHUP)

		_, err := fifo.WriteString(settingsWith(firstStore))
		require.NoError(t, err)
		require.NoError(t, fifo.Close())

		p.waitFor(startedLine)
		p.waitFor(reloadedLine)
		p.waitFor(changedLine)
	}
}

// TestReloadsAreReceivedAsEarlyAsGoCan reads the runtime's trace of initialized packages.
func TestReloadsAreReceivedAsEarlyAsGoCan(t *testing.T) {
	t.Parallel()

	settings := filepath.Join(t.TempDir(), "local.toml")
	replace(t, settings, firstStore)

	cmd := exec.CommandContext(t.Context(), buildProgram(t), "--settings", settings, "--check")
	cmd.Env = append(os.Environ(), "GODEBUG=inittrace=1")

	trace, err := cmd.CombinedOutput()
	require.NoError(t, err, string(trace))

	var packages []string

	for line := range strings.Lines(string(trace)) {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "init" {
			packages = append(packages, fields[1])
		}
	}

	signals := slices.Index(packages, "os/signal")
	require.GreaterOrEqual(t, signals, 0, string(trace))
	require.Equal(t, "github.com/dotterelflow/dotterelflow/internal/site/reloads", packages[signals+1], string(trace))
}

// TestReloadEndsAHostWhoseRuntimeStarts sends SIGHUP as soon as the kernel's default action no longer applies.
func TestReloadEndsAHostWhoseRuntimeStarts(t *testing.T) {
	t.Parallel()

	path, settings := buildProgram(t), filepath.Join(t.TempDir(), "local.toml")
	replace(t, settings, firstStore)

	for range startCount {
		p := runProgram(t, path, settings)

		for end := time.Now().Add(waitLimit); ; {
			handled, err := procfs.Handles(p.cmd.Process.Pid, syscall.SIGHUP)
			require.NoError(t, err)

			if handled {
				break
			}

			require.Less(t, time.Now(), end, "SIGHUP keeps its default action")
		}

		p.signal(syscall.SIGHUP)
		p.waitFor(startedLine)
	}
}

// TestSettingsThatChangeDuringTheStartStayUnread changes the settings while the program reads them for the first time, without a signal.
func TestSettingsThatChangeDuringTheStartStayUnread(t *testing.T) {
	t.Parallel()

	settings := filepath.Join(t.TempDir(), "local.toml")
	replaceWithFIFO(t, settings)

	p := runProgram(t, buildProgram(t), settings)
	fifo := p.openForWriting()

	replace(t, settings, secondStore)

	_, err := fifo.WriteString(settingsWith(firstStore))
	require.NoError(t, err)
	require.NoError(t, fifo.Close())

	p.waitFor(startedLine)
	p.waitFor(changedLine)
}
