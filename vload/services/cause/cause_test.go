package cause_test

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenaroad.example/vload/services/cause"
)

const logLines = `
time=2026-12-03T05:00:00.1Z level=info event=stage-ended request=a route=notes stage=1 stage-service=retrievers items=6 outcome=made took=310ms
edge-1 time=2026-12-03T05:00:00.2Z level=info event=stage-ended request=b route=notes stage=1 stage-service=retrievers items=6 outcome=made took=510ms
time=2026-12-03T05:00:00.3Z level=info event=stage-ended request=c route=notes stage=1 stage-service=retrievers items=6 outcome=gone took=10ms
time=2026-12-03T05:00:00.4Z level=info event=batch service=retrievers server=i-1 items=12 outcome=answered results="made=12" waiting=4 took=300ms
time=2026-12-03T05:00:00.9Z level=info event=batch service=retrievers server=i-2 items=6 outcome=refused results="refused=6" waiting=10 took=100ms
time=2026-12-03T05:00:02.5Z level=info event=batch service=retrievers server=i-1 items=6 outcome=broken results="" waiting=0 took=900ms
time=2026-12-03T05:00:01Z level=info event=stream-begun request=a route=notes took=1.5s
time=2026-12-03T05:00:01Z level=warn event=failed request=d route=notes code=deadline-unmeetable detail="the stages would take 4.729s" took=1ms
time=2026-12-03T05:00:01Z level=warn event=failed request=e route=notes code=deadline-unmeetable detail="the stages would take 12.1s" took=1ms
another program says something
`

func TestReportTables(t *testing.T) {
	is := is.New(t)
	r := cause.NewReport(2 * time.Second)
	is.NoErr(r.Read(strings.NewReader(logLines)))
	out := &strings.Builder{}
	is.NoErr(r.Write(out))
	rows := map[string]bool{}
	for row := range strings.Lines(out.String()) {
		rows[strings.Join(strings.Fields(row), " ")] = true
	}
	is.True(rows["notes 1 1.5s 1.5s"])
	is.True(rows["retrievers 1 notes 2 310ms 310ms 1"])
	is.True(rows["retrievers 0s 2 9.0 200ms 7.0 10 2 0.2 1 0"])
	is.True(rows["retrievers 2s 1 6.0 900ms 0.0 0 1 0.5 0 1"])
	is.True(rows["2 notes deadline-unmeetable: the stages would take N"]) // Reasons that differ only in a number count as one.
}

func TestReadFailsWithoutUsableLines(t *testing.T) {
	is := is.New(t)
	err := cause.NewReport(time.Second).Read(strings.NewReader("hello\nworld\n"))
	is.True(err != nil)
}
