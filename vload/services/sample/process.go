// Package sample records processor time, memory and expvar figures of processes over time.
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
	// ticksPerSecond is the unit of times in /proc, which Linux fixes for programs at 100.
	ticksPerSecond = 100
	// userField and systemField count the fields of stat behind the program's name.
	userField   = 11
	systemField = 12
	bytesPerKB  = 1024
)

// Process is one process to watch.
type Process struct {
	Name string
	PID  int
}

// Usage is what a process has used so far.
type Usage struct {
	Processor time.Duration
	// Resident and Peak are in bytes.
	Resident int64
	Peak     int64
}

// ReadProcesses reads lines of "PID" or "NAME PID"; blank lines and those that begin with # are passed over.
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

// ReadUsage reads what the process has used from a /proc directory.
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
	u.Processor, err = processorTime(string(stat))
	return u, err
}

// processorTime adds user and system time. The program's name stands in brackets and may hold blanks and brackets itself.
func processorTime(stat string) (time.Duration, error) {
	_, behind, found := cutLast(stat, ')')
	fields := strings.Fields(behind)
	if !found || len(fields) <= systemField {
		return 0, ErrSample.New("stat has too few fields")
	}
	ticks := int64(0)
	for _, at := range []int{userField, systemField} {
		count, err := strconv.ParseInt(fields[at], 10, 64)
		if err != nil {
			return 0, ErrSample.Wrap(err)
		}
		ticks += count
	}
	return time.Duration(ticks) * time.Second / ticksPerSecond, nil
}

// cutLast splits a text at the last place of a byte.
func cutLast(text string, at byte) (before, behind string, found bool) {
	i := strings.LastIndexByte(text, at)
	if i < 0 {
		return text, "", false
	}
	return text[:i], text[i+1:], true
}

// statusBytes returns a line of status that is given in kB; 0 where there is none.
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

// ReadMoved returns the bytes that the process has read and written by system
// calls so far: sockets, and the little that it logs. Pages of mapped files are not among them.
func ReadMoved(proc string, pid int) (int64, error) {
	text, err := os.ReadFile(filepath.Join(proc, strconv.Itoa(pid), "io"))
	if err != nil {
		return 0, ErrSample.Wrap(err)
	}
	moved := int64(0)
	for line := range strings.Lines(string(text)) {
		name, value, _ := strings.Cut(line, ":")
		if name != "rchar" && name != "wchar" {
			continue
		}
		count, err := strconv.ParseInt(strings.TrimSpace(value), 10, 64)
		if err != nil {
			return 0, ErrSample.Wrap(err)
		}
		moved += count
	}
	return moved, nil
}
