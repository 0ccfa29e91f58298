package rhash_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets a fixed seed for the property tests; -rapid.seed=0 uses a new seed on each run.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}
