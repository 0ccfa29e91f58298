package meter_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenaroad.example/vload/services/meter"
)

// newProc returns a directory laid out as /proc with process 7, which has read and written 300
// bytes and has 2 MB of resident memory.
func newProc(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	files := map[string]string{
		"stat":   "7 (a b) S" + strings.Repeat(" 0", 20),
		"status": "VmHWM:\t4096 kB\nVmRSS:\t2048 kB\n",
		"io":     "rchar: 100\nwchar: 200\nread_bytes: 5\n",
	}
	is := is.New(t)
	is.NoErr(os.Mkdir(filepath.Join(dir, "7"), 0o755))
	for name, text := range files {
		is.NoErr(os.WriteFile(filepath.Join(dir, "7", name), []byte(text), 0o600))
	}
	return dir
}

// newServer starts a server that formats the number of reads so far into each answer.
func newServer(t *testing.T, format string) netip.AddrPort {
	t.Helper()
	reads := 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		reads++
		_, _ = fmt.Fprintf(w, format, reads)
	}))
	t.Cleanup(server.Close)
	return netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
}

func TestMeasureReportsGrowthOverWindow(t *testing.T) {
	is := is.New(t)
	m := meter.NewMeter(meter.Options{
		Proc:         newProc(t),
		Targets:      []meter.Target{{PID: 7, Metrics: newServer(t, `{"verbena":{"config":{"published":%d}}}`)}},
		Store:        newServer(t, `{"calls":{"read":%d},"open":{"watch":14}}`),
		Window:       time.Millisecond,
		ExtraColumns: []meter.Column{{Name: "peers", Value: 30}},
	})
	record, err := m.Measure(t.Context())
	is.NoErr(err)
	found := map[string]float64{}
	for _, column := range record {
		found[column.Name] = column.Value
	}
	is.Equal(found["peers"], 30.0)
	is.Equal(found["resident-mb"], 2.0)
	is.Equal(found["bytes-per-second"], 0.0)
	is.Equal(found["adopted"], 1.0)
	is.Equal(found["watches-open"], 14.0)
	is.True(found["store-reads-per-second"] > 0)
}

func TestAppendWritesTheHeaderOnce(t *testing.T) {
	is := is.New(t)
	file := filepath.Join(t.TempDir(), "a.csv")
	is.NoErr(meter.Append(file, []meter.Column{{Name: "x", Value: 1}, {Name: "y", Value: 2.5}}))
	is.NoErr(meter.Append(file, []meter.Column{{Name: "x", Value: 3}, {Name: "y", Value: 4}}))
	text, err := os.ReadFile(file)
	is.NoErr(err)
	is.Equal(string(text), "x,y\n1,2.5\n3,4\n")
}
