package hosted_test

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// envProgram is the environment variable with the path of the ingress program to test. If it is
// unset, the tests build the program first.
const envProgram = "VERBENA_INGRESS"

// envOtherProgram is the environment variable with the path of another version of the ingress program, which
// every second ingress runs. Versions run side by side during an update.
const envOtherProgram = "VERBENA_OTHER_INGRESS"

func TestMain(m *testing.M) {
	code, err := runTests(m)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	os.Exit(code)
}

func runTests(m *testing.M) (int, error) {
	if os.Getenv(envProgram) != "" {
		return m.Run(), nil
	}
	directory, err := os.MkdirTemp("", "hosted")
	if err != nil {
		return 0, err
	}
	defer func() { _ = os.RemoveAll(directory) }()
	program := filepath.Join(directory, "ingress")
	build := exec.Command("go", "build", "-buildvcs=false", "-o", program, "verbenaroad.example/ingress")
	build.Dir = "../.."
	if output, err := build.CombinedOutput(); err != nil {
		return 0, fmt.Errorf("build: %w: %s", err, output)
	}
	if err := os.Setenv(envProgram, program); err != nil {
		return 0, err
	}
	return m.Run(), nil
}
