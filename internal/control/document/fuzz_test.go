package document_test

import (
	"encoding/json"
	"os"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/dotterelflow/dotterelflow/internal/control/document"
	"github.com/dotterelflow/dotterelflow/internal/site/yamlfile"
)

// FuzzParse checks that any input is either accepted or refused with a reason, and that an accepted
// document renders to the same configuration after a round trip through YAML and through JSON.
func FuzzParse(f *testing.F) {
	for _, name := range []string{"deployment", "templates", "accounts", "targets"} {
		data, err := os.ReadFile("../../../examples/qafzeh/" + name + ".yaml")
		require.NoError(f, err)
		f.Add(data)
	}

	f.Fuzz(func(t *testing.T, data []byte) {
		d, err := document.Parse("f.yaml", data)
		if err != nil {
			var invalid *yamlfile.InvalidError

			require.ErrorAs(t, err, &invalid)
			require.NotEmpty(t, invalid.Problems)

			return
		}

		want, err := d.Config()
		if err != nil {
			return
		}

		text, err := d.YAML()
		require.NoError(t, err)

		if d, err := document.Parse("again.yaml", text); err == nil {
			got, err := d.Config()
			require.NoError(t, err, "%s", text)
			require.Equal(t, want, got)
		} else {
			require.ErrorContains(t, err, "empty")
		}

		encoded, err := json.Marshal(d)
		require.NoError(t, err)

		var decoded document.Document

		require.NoError(t, json.Unmarshal(encoded, &decoded))

		got, err := decoded.Config()
		require.NoError(t, err)
		require.Equal(t, want, got)
	})
}
