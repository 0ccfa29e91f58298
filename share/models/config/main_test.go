package config_test

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of property tests unless -rapid.seed sets one, so that failures are
// reproducible. It also disables rapid's fail files.
func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "20261202")
	}
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}
