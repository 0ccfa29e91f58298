package sample_test

import (
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenaroad.example/vload/services/sample"
)

func TestReadProcesses(t *testing.T) {
	is := is.New(t)
	all, err := sample.ReadProcesses(strings.NewReader("# started by a script\nentry-1 41\n\n42\n"))
	is.NoErr(err)
	is.Equal(all, []sample.Process{{Name: "entry-1", PID: 41}, {Name: "42", PID: 42}})
	_, err = sample.ReadProcesses(strings.NewReader("1\nentry x\n"))
	is.True(strings.Contains(err.Error(), "line 2"))
}

// writeProcess writes the stat and status files of a process as the kernel lays them out in /proc.
func writeProcess(t *testing.T, proc, pid, stat, status string) {
	is := is.New(t)
	dir := filepath.Join(proc, pid)
	is.NoErr(os.MkdirAll(dir, 0o755))
	is.NoErr(os.WriteFile(filepath.Join(dir, "stat"), []byte(stat), 0o600))
	is.NoErr(os.WriteFile(filepath.Join(dir, "status"), []byte(status), 0o600))
}

func TestReadUsage(t *testing.T) {
	is := is.New(t)
	proc := t.TempDir()
	stat := "41 (a b) c) S 1 41 41 0 -1 4194560 700 0 0 0 150 25 0 0 20 0 8 0 100 1000 200\n"
	writeProcess(t, proc, "41", stat, "Name:\tentry\nVmHWM:\t  2048 kB\nVmRSS:\t  1024 kB\n")
	u, err := sample.ReadUsage(proc, 41)
	is.NoErr(err)
	is.Equal(u, sample.Usage{CPUTime: 1750 * time.Millisecond, Resident: 1 << 20, Peak: 2 << 20})
	writeProcess(t, proc, "42", "42 (entry) S 1", "")
	_, err = sample.ReadUsage(proc, 42)
	is.True(err != nil)
}

func TestRecordRunningAndMissingProcess(t *testing.T) {
	is := is.New(t)
	var text strings.Builder
	pid := os.Getpid()
	s := sample.NewSampler(sample.Options{
		Processes: []sample.Process{{Name: "self", PID: pid}, {Name: "gone", PID: 1 << 30}},
		Interval:  time.Millisecond,
		Duration:  time.Millisecond,
	}, &text)
	is.NoErr(s.Record(t.Context()))
	for _, want := range []string{
		"seconds,process,pid,metric,value,unit\n",
		",self," + strconv.Itoa(pid) + ",processor,",
		",self," + strconv.Itoa(pid) + ",resident,",
		",gone,1073741824,alive,0,bool\n",
	} {
		is.True(strings.Contains(text.String(), want))
	}
}
