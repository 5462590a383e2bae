package experiment_test

import (
	"os"
	"runtime/debug"
	"testing"
)

// gcPercent trades memory for time: runs make much short-lived garbage.
const gcPercent = 400

func TestMain(m *testing.M) {
	debug.SetGCPercent(gcPercent)
	os.Exit(m.Run())
}
