package setup

import (
	"fmt"
	"runtime"
)

// version is set by the linker (see the Makefile) to the revision that was built.
var version = "development"

// DescribeVersion returns the line that --version prints.
func DescribeVersion(program string) string {
	return fmt.Sprintf("%s %s, %s", program, version, runtime.Version())
}
