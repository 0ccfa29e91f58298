package harns_test

import (
	"flag"
	"fmt"
	"os"
	"os/exec"
	"testing"
)

const (
	// maxDeployments is the number of deployments that run in parallel. Each has about ten processes.
	maxDeployments = "4"
	// envProgramDir is the environment variable that passes the directory of the built programs to
	// the tests.
	envProgramDir = "VERBENA_PROOF_PROGRAMS"
)

// TestMain builds the programs that the tests start, so that no earlier build is needed.
func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(buildAndRun(m))
}

// buildAndRun builds the programs into a temporary directory, runs the tests and returns the exit
// code.
func buildAndRun(m *testing.M) int {
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
	if err := os.Setenv(envProgramDir, directory); err != nil {
		return 1
	}
	if err := flag.Set("test.parallel", maxDeployments); err != nil {
		return 1
	}
	return m.Run()
}
