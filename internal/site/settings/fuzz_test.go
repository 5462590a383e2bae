package settings_test

import (
	"os"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/site/settings"
	"github.com/dotterelflow/dotterelflow/internal/site/yamlfile"
)

// FuzzParse checks that Parse either returns valid addresses and timeouts or fails with an InvalidError that names a
// problem.
func FuzzParse(f *testing.F) {
	data, err := os.ReadFile("../../../examples/settings/entry-1.yaml")
	require.NoError(f, err)
	f.Add(data)
	f.Add([]byte("id: e\nlisten: {caller: [1]}\n"))
	f.Add([]byte("peers: {a: b}\nstop-timeout: {}\noperator-key-hash: []\n"))

	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := settings.Parse("s.yaml", data)
		if err != nil {
			var invalid *yamlfile.InvalidError

			require.ErrorAs(t, err, &invalid)
			require.NotEmpty(t, invalid.Problems)

			return
		}

		for _, address := range append([]string{s.Listen.Caller, s.Listen.Operator, s.Listen.Peer, s.Platform}, s.Peers...) {
			require.True(t, yamlfile.IsAddress(address), address)
		}

		require.Positive(t, s.StopTimeout)
		require.Positive(t, s.PlatformTimeout)
	})
}
