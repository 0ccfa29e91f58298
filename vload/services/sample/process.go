// Package sample records the processor time, memory and expvar figures of processes over time.
package sample

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/zeebo/errs"
)

// ErrSample is the class of errors of this package.
var ErrSample = errs.Class("sample") //nolint:gochecknoglobals // an error class is a constant in all but syntax

const (
	// ticksPerSecond is the number of clock ticks per second in /proc, which Linux fixes at 100 for
	// user space.
	ticksPerSecond = 100
	// userField and systemField are the indices of the user and system time among the fields of
	// /proc/PID/stat that follow the program's name.
	userField   = 11
	systemField = 12
	bytesPerKB  = 1024
)

// Process is a process to record.
type Process struct {
	Name string
	PID  int
}

// Usage is what a process has used since it started.
type Usage struct {
	CPUTime time.Duration
	// Resident is the current and Peak the highest resident memory, in bytes.
	Resident int64
	Peak     int64
}

// ReadProcesses reads lines of the form "PID" or "NAME PID" and skips blank lines and those that
// begin with #.
func ReadProcesses(r io.Reader) ([]Process, error) {
	var all []Process
	scanner := bufio.NewScanner(r)
	for line := 1; scanner.Scan(); line++ {
		text := strings.TrimSpace(scanner.Text())
		if text == "" || strings.HasPrefix(text, "#") {
			continue
		}
		fields := strings.Fields(text)
		last := fields[len(fields)-1]
		pid, err := strconv.Atoi(last)
		if err != nil || pid <= 0 || len(fields) > 2 {
			return nil, ErrSample.New("line %d: want a process id, or a name and a process id", line)
		}
		all = append(all, Process{Name: fields[0], PID: pid})
	}
	return all, ErrSample.Wrap(scanner.Err())
}

// ReadUsage reads the usage of a process from proc, a directory laid out as /proc.
func ReadUsage(proc string, pid int) (Usage, error) {
	dir := filepath.Join(proc, strconv.Itoa(pid))
	stat, err := os.ReadFile(filepath.Join(dir, "stat"))
	if err != nil {
		return Usage{}, ErrSample.Wrap(err)
	}
	status, err := os.ReadFile(filepath.Join(dir, "status"))
	if err != nil {
		return Usage{}, ErrSample.Wrap(err)
	}
	u := Usage{Resident: statusBytes(string(status), "VmRSS:"), Peak: statusBytes(string(status), "VmHWM:")}
	u.CPUTime, err = parseCPUTime(string(stat))
	return u, err
}

// parseCPUTime returns the sum of user and system time in the text of /proc/PID/stat. The program's
// name is in parentheses and may itself contain blanks and parentheses.
func parseCPUTime(stat string) (time.Duration, error) {
	_, after, found := cutLast(stat, ')')
	fields := strings.Fields(after)
	if !found || len(fields) <= systemField {
		return 0, ErrSample.New("stat has too few fields")
	}
	ticks := int64(0)
	for _, index := range []int{userField, systemField} {
		count, err := strconv.ParseInt(fields[index], 10, 64)
		if err != nil {
			return 0, ErrSample.Wrap(err)
		}
		ticks += count
	}
	return time.Duration(ticks) * time.Second / ticksPerSecond, nil
}

// cutLast splits the text at the last occurrence of a byte.
func cutLast(text string, separator byte) (before, after string, found bool) {
	i := strings.LastIndexByte(text, separator)
	if i < 0 {
		return text, "", false
	}
	return text[:i], text[i+1:], true
}

// statusBytes returns a value of /proc/PID/status that is given in kB, in bytes; it returns 0 if
// the value is absent.
func statusBytes(status, name string) int64 {
	for line := range strings.Lines(status) {
		rest, ok := strings.CutPrefix(line, name)
		if !ok {
			continue
		}
		var kilobytes int64
		if _, err := fmt.Sscan(rest, &kilobytes); err != nil {
			return 0
		}
		return kilobytes * bytesPerKB
	}
	return 0
}

// ReadIOBytes returns the number of bytes that the process has read and written by system calls so
// far, that is, on sockets and, to a small extent, for logs. Pages of mapped files are not
// included.
func ReadIOBytes(proc string, pid int) (int64, error) {
	text, err := os.ReadFile(filepath.Join(proc, strconv.Itoa(pid), "io"))
	if err != nil {
		return 0, ErrSample.Wrap(err)
	}
	total := int64(0)
	for line := range strings.Lines(string(text)) {
		name, value, _ := strings.Cut(line, ":")
		if name != "rchar" && name != "wchar" {
			continue
		}
		count, err := strconv.ParseInt(strings.TrimSpace(value), 10, 64)
		if err != nil {
			return 0, ErrSample.Wrap(err)
		}
		total += count
	}
	return total, nil
}
