package harns_test

import (
	"flag"
	"fmt"
	"os"
	"os/exec"
	"testing"
)

const (
	// deployments is how many run at once: each has some ten processes.
	deployments = "4"
	// envPrograms names the directory of the built programs for the tests of this run.
	envPrograms = "VERBENA_PROOF_PROGRAMS"
)

// TestMain builds the programs, so that the tests stand alone.
func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(runAll(m))
}

func runAll(m *testing.M) int {
	directory, err := os.MkdirTemp("", "programs")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(directory) }()
	build := exec.Command("go", "build", "-buildvcs=false", "-o", directory+"/", "./agent", "./entry", "./fakes", "./vctl", "./vload")
	build.Dir = "../.."
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "build:", err)
		return 1
	}
	if err := os.Setenv(envPrograms, directory); err != nil {
		return 1
	}
	if err := flag.Set("test.parallel", deployments); err != nil {
		return 1
	}
	return m.Run()
}
