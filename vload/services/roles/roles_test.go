package roles_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"verbenaroad.example/vload/services/roles"
)

const logLines = `
 -1.0 a time=2026-12-03T05:00:00Z level=info event=started instance=a
 -1.0 b time=2026-12-03T05:00:00Z level=info event=started instance=b
time=2026-12-03T05:00:00.5Z level=info event=config-applied instance=a version=3
time=2026-12-03T05:00:00.7Z level=info event=config-applied instance=b version=3
time=2026-12-03T05:00:03Z level=info event=config-applied instance=a version=5
time=2026-12-03T05:00:03.25Z level=info event=config-applied instance=b version=5
time=2026-12-03T05:00:04Z level=info event=server-removed instance=a server=i-1
time=2026-12-03T05:00:04.1Z level=info event=server-removed instance=b server=i-1
time=2026-12-03T05:00:05Z level=info event=usage instance=a uptime=5s processor-time=500ms memory=20000000 servers=4 ingresses=2 followers=1 links-opened=0 counts=store=renew/answered:2,sent=records:5:10000,received=assign:10:1000
time=2026-12-03T05:00:05Z level=info event=usage instance=b uptime=5s processor-time=50ms memory=10000000 servers=4 ingresses=2 followers=0 links-opened=1 counts=store=renew/answered:1,sent=assign:10:1000
time=2026-12-03T05:00:10Z level=info event=usage instance=a uptime=10s processor-time=1s memory=10000000 servers=4 ingresses=2 followers=0 links-opened=0 counts="store=renew/answered:4,sent=records:10:20000,received=assign:20:2000"
another program says something
`

func TestTables(t *testing.T) {
	is := is.New(t)
	r := roles.NewReport()
	is.NoErr(r.Read(strings.NewReader(logLines)))
	out := &strings.Builder{}
	is.NoErr(r.Write(out))
	rows := map[string]bool{}
	for row := range strings.Lines(out.String()) {
		rows[strings.Join(strings.Fields(row), " ")] = true
	}
	is.True(rows["placer 1 10.0 10.0 20.0 20.0 0 0 1 4 2 2.0 2.0 0.2 0.2"])
	is.True(rows["plain 1 1.0 1.0 10.0 10.0 1 1 0 4 2 0.2 0.2 0.0 0.0"])
	is.True(rows["placer records 1.00 2.00 0.00 0.00"])
	is.True(rows["renew/answered 5 4"])
	is.True(rows["config-applied 1 2 0s 0s 250ms"])
	is.True(rows["server-removed 1 2 0s 0s 100ms"])
	is.True(rows["start to first configuration 2 2 500ms 500ms 700ms"])
}

func TestReadFailsWithoutUsageLines(t *testing.T) {
	is := is.New(t)
	is.True(roles.NewReport().Read(strings.NewReader("hello\n")) != nil)
}
