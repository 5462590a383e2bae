package settings_test

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/site/settings"
	"github.com/dotterelflow/dotterelflow/internal/site/yamlfile"
)

func TestLoadExamples(t *testing.T) {
	for _, id := range []string{"entry-1", "entry-2"} {
		s, err := settings.Load(filepath.Join("..", "..", "..", "examples", "settings", id+".yaml"))
		require.NoError(t, err)
		require.Equal(t, id, s.ID)
		require.Equal(t, entity.DataCentre("lodz"), s.DataCentre)
		require.Equal(t, settings.KeyHash(entity.HashKey("demo-operator-key-change-me")), s.OperatorKeyHash)
		require.Equal(t, 2*time.Minute, time.Duration(s.StopTimeout))
		require.Len(t, s.Peers, 1)
	}
}

const keyHash = "0000000000000000000000000000000000000000000000000000000000000001"

func TestRefusals(t *testing.T) {
	settingsText := func(platform, rest string) string {
		return "id: e\ndata-centre: lodz\nlisten:\n  caller: 127.0.0.1:1\n  operator: 127.0.0.1:2\n  peer: 127.0.0.1:3\n" +
			platform + rest
	}

	const (
		platform = "platform: 127.0.0.1:4\n"
		key      = "operator-key-hash: " + keyHash + "\n"
	)

	tests := []struct {
		name, text, want string
	}{
		{"accepted", settingsText(platform, key), ""},
		{"unknown key", settingsText(platform, key+"colour: red\n"), "s.yaml:9: unknown field \"colour\""},
		{"missing platform", settingsText("", key), "platform is missing"},
		{"missing listener", "id: e\ndata-centre: lodz\nlisten:\n  caller: 127.0.0.1:1\n  operator: 127.0.0.1:2\n" + platform + key, "peer is missing"},
		{"no listeners", "id: e\ndata-centre: lodz\n" + platform + key, "s.yaml:1: listen is missing"},
		{"host name", settingsText("platform: store.internal:80\n", key), "s.yaml:7: platform must be an IP number and a port"},
		{"peer host name", settingsText(platform, key+"peers: [127.0.0.1:9, node:1]\n"), "must be an IP number and a port"},
		{"peer twice", settingsText(platform, key+"peers: [127.0.0.1:9, 127.0.0.1:9]\n"), "s.yaml:9: peers must not list a value twice"},
		{"bad duration", settingsText(platform, key+"stop-timeout: 5 minutes\n"), "s.yaml:9: \"5 minutes\" is not a duration"},
		{"limits of connections", settingsText(platform, key+"header-timeout: 3s\nidle-timeout: 15s\n"), ""},
		{"bad limit", settingsText(platform, key+"idle-timeout: long\n"), "s.yaml:9: \"long\" is not a duration"},
		{"negative duration", settingsText(platform, key+"stop-timeout: -5s\n"), "s.yaml:9: \"-5s\" is out of range"},
		{"no key", settingsText(platform, ""), "operator-key-file is missing"},
		{"two keys", settingsText(platform, key+"operator-key-file: k\n"), "s.yaml:9: operator-key-file cannot be combined with operator-key-hash"},
		{"plain key", settingsText(platform, "operator-key-hash: secret\n"), "s.yaml:8: operator-key-hash must be the hex SHA-256"},
		{"log level", settingsText(platform, key+"log-level: loud\n"), "s.yaml:9: log-level must be one of debug info warn error"},
	}

	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := settings.Parse("s.yaml", []byte(tt.text))
			if tt.want == "" {
				require.NoError(t, err)

				return
			}

			var invalid *yamlfile.InvalidError

			require.ErrorAs(t, err, &invalid)
			require.Contains(t, err.Error(), tt.want)
			require.Positive(t, invalid.Problems[0].Line)
		})
	}
}

func TestKeyFile(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "s.yaml")
	text := "id: e\ndata-centre: lodz\nlisten: {caller: \"127.0.0.1:1\", operator: \"127.0.0.1:2\", peer: \"127.0.0.1:3\"}\n" +
		"platform: 127.0.0.1:4\noperator-key-file: k\n"

	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))

	_, err := settings.Load(path)
	require.ErrorContains(t, err, "operator-key-file: ")

	require.NoError(t, os.WriteFile(filepath.Join(dir, "k"), []byte("short\n"), 0o600))

	_, err = settings.Load(path)
	require.ErrorContains(t, err, "fewer than 16 characters")
}
