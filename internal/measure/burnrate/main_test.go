package burnrate_test

import (
	"flag"
	"os"
	"testing"
)

func TestMain(m *testing.M) {
	flag.Parse()

	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "60"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}

	os.Exit(m.Run())
}
