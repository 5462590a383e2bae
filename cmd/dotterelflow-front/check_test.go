package main_test

import (
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestConfigurationIsCheckedBeforeItIsSent(t *testing.T) {
	t.Parallel()

	program, dir := buildProgram(t), t.TempDir()
	write := func(name, content string) string {
		path := filepath.Join(dir, name)
		require.NoError(t, os.WriteFile(path, []byte(content), 0o600))

		return path
	}

	present := write("present.json", `{"version":1,"routes":[{"name":"r","host":"h","path_prefix":"/a/","kind":"safe","service":"s"}],"services":[{"name":"s"}]}`)
	next := write("next.json", `{"version":2,"routes":[{"name":"r","host":"h","path_prefix":"/b/","kind":"safe","service":"s"}],"services":[{"name":"s"}]}`)
	wrong := write("wrong.json", `{"version":3,"routes":[{"name":"r","host":"h","path_prefix":"/a/","kind":"safe","service":"t"}],"services":[{"name":"s"}]}`)

	for _, c := range []struct {
		args []string
		code int
		out  string
	}{
		{[]string{present}, 0, ""},
		{[]string{"--in-force", present, next}, 0, "difference: route h/b/: is new\ndifference: route h/a/: goes\n"},
		{[]string{wrong}, 2, "problem: route r: leads to service t, which is not configured\nnotice: service s: gets no requests: no route leads to it\n"},
		{[]string{"--json", present}, 0, "[]\n"},
		{[]string{write("none.json", "{}")}, 1, ""},
		{[]string{filepath.Join(dir, "missing.json")}, 1, ""},
		{nil, 1, ""},
	} {
		out, err := exec.Command(program, append([]string{"check-configuration"}, c.args...)...).Output()

		code := 0

		if exit, ok := errors.AsType[*exec.ExitError](err); ok {
			code = exit.ExitCode()
		} else {
			require.NoError(t, err)
		}

		require.Equal(t, c.code, code, c.args)
		require.Equal(t, c.out, string(out), c.args)
	}
}
