package queue_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of property tests; -rapid.seed=0 searches with a new one each time.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}
