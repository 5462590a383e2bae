package experiment_test

import (
	"os"
	"runtime/debug"
	"testing"
)

// gcPercent makes the garbage collector run less often, as the runs allocate much short-lived memory.
const gcPercent = 400

func TestMain(m *testing.M) {
	debug.SetGCPercent(gcPercent)
	os.Exit(m.Run())
}
