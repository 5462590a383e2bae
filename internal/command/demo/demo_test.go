package demo_test

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/urfave/cli/v3"

	"github.com/dotterelflow/dotterelflow/internal/command/demo"
)

// TestFirstRequestsOfEachKindAreServed guards against a host that says it is ready and refuses requests for targets of a data centre
// whose hosts it has not found yet. The starts run beside each other, so that the scheduler is busy.
func TestFirstRequestsOfEachKindAreServed(t *testing.T) {
	const starts = 50

	for i := range starts {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			t.Parallel()

			var out bytes.Buffer

			c := &cli.Command{Name: "dotterelflow", Writer: &out, Commands: []*cli.Command{demo.Command()}}
			require.NoError(t, c.Run(t.Context(), []string{"dotterelflow", "demo", "--examples", "../../../examples"}), out.String())
		})
	}
}
