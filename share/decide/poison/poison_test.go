package poison_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenaroad.example/share/decide/poison"
	"verbenaroad.example/share/models/site"
)

var begin = time.Unix(1000, 0) //nolint:gochecknoglobals // a constant in all but syntax

func after(d time.Duration) time.Time { return begin.Add(d) }

// crash is an attempt that broke off its server 100 ms after it was sent.
func crash(server string, sent time.Duration) poison.Crash {
	return poison.Crash{Server: server, Version: "v1", Sent: after(sent), Broke: after(sent + 100*time.Millisecond)}
}

func TestIDsTellRequestsApart(t *testing.T) {
	is := is.New(t)
	id := poison.NewID("workshop", "kits.example", "/order/1", []byte("spruce"))
	is.Equal(id, poison.NewID("workshop", "kits.example", "/order/1", []byte("spruce")))
	for _, other := range []poison.ID{
		poison.NewID("agency", "kits.example", "/order/1", []byte("spruce")),
		poison.NewID("workshop", "kits.example", "/order/2", []byte("spruce")),
		poison.NewID("workshop", "kits.example", "/order/1", []byte("maple")),
		poison.NewID("workshop", "kits.example/order", "/1", []byte("spruce")),
	} {
		is.True(id != other)
	}
}

func TestRequestThatCrashesInSeriesIsPoison(t *testing.T) {
	is := is.New(t)
	l := poison.NewLedger(3)
	is.True(!l.IsPoison(l.Note(begin, "a", crash("s1", 0))))
	is.True(!l.IsPoison(l.Note(begin, "a", crash("s2", time.Second))))
	s := l.Note(begin, "a", crash("s3", 2*time.Second))
	is.True(l.IsPoison(s))
	is.Equal(s.Servers, []string{"s1", "s2", "s3"})
	is.Equal(s.Versions, []string{"v1"})
	is.True(!l.IsPoison(l.Note(begin, "b", crash("s3", 2*time.Second))))
}

// Guards against a common request that is quarantined since all servers of a failure domain crashed at once.
func TestCrashesAtTheSameTimeCountOnce(t *testing.T) {
	is := is.New(t)
	l := poison.NewLedger(3)
	for n := range 10 {
		is.True(!l.IsPoison(l.Note(begin, "a", crash(fmt.Sprint("s", n), time.Duration(n)*5*time.Millisecond))))
	}
}

// Guards against crashes that are not counted since the news of them overtook each other.
func TestNewsOfCrashesMayOvertakeEachOther(t *testing.T) {
	is := is.New(t)
	l := poison.NewLedger(3)
	l.Note(begin, "a", crash("s3", 2*time.Second))
	l.Note(begin, "a", crash("s1", 0))
	is.True(l.IsPoison(l.Note(begin, "a", crash("s2", time.Second))))
}

// Guards against a common request that is quarantined since it was sent to a server that was down, again and again.
func TestOneServerCountsOnce(t *testing.T) {
	is := is.New(t)
	l := poison.NewLedger(3)
	for n := range 10 {
		is.True(!l.IsPoison(l.Note(begin, "a", crash("s1", time.Duration(n)*time.Second))))
	}
}

// Guards against a bystander that is quarantined though it was served in between.
func TestServedRequestIsNoSuspect(t *testing.T) {
	is := is.New(t)
	l := poison.NewLedger(3)
	l.Note(begin, "a", crash("s1", 0))
	l.Note(begin, "a", crash("s2", time.Second))
	l.Clear("a")
	is.True(!l.IsPoison(l.Note(begin, "a", crash("s3", 2*time.Second))))
}

// Guards against crashes that are held against a request for good.
func TestOldCrashesAreForgotten(t *testing.T) {
	is := is.New(t)
	l := poison.NewLedger(2)
	l.Note(begin, "a", crash("s1", 0))
	is.True(!l.IsPoison(l.Note(after(time.Hour), "a", crash("s2", time.Hour))))
}

// Guards against a ledger that grows with each crash of a busy server.
func TestLedgerAndServedAreBounded(t *testing.T) {
	is := is.New(t)
	l := poison.NewLedger(3)
	s := poison.NewServed()
	for n := range 10_000 {
		id := poison.ID(fmt.Sprint(n))
		l.Note(after(time.Duration(n)*time.Millisecond), id, crash("s1", time.Duration(n)*time.Millisecond))
		s.Add(id)
	}
	is.True(l.Count() <= 4096)
	is.True(s.Has("9999"))
	is.True(s.Has("8500"))
	is.True(!s.Has("100"))
}

func TestQuarantineHoldsWhileTheSoftwareRuns(t *testing.T) {
	is := is.New(t)
	q := site.Quarantine{Versions: []string{"v1", "v2"}}
	is.True(poison.Binds(q, nil))
	is.True(poison.Binds(q, []site.Server{{Version: "v3"}, {Version: "v2"}}))
	is.True(!poison.Binds(q, []site.Server{{Version: "v3"}}))
}

func TestOldestQuarantinesAreLetGo(t *testing.T) {
	is := is.New(t)
	quarantines := map[poison.ID]site.Quarantine{}
	for n := range poison.MaxQuarantines + 2 {
		quarantines[poison.ID(fmt.Sprint(n))] = site.Quarantine{Revision: uint64(n)} //nolint:gosec // a small number
	}
	is.Equal(poison.FindExcess(quarantines), []poison.ID{"0", "1"})
}

func TestTrialsAreFew(t *testing.T) {
	is := is.New(t)
	trials := poison.DefaultTrials()
	is.True(!trials.IsDue(after(29*time.Second), begin, 0))
	is.True(trials.IsDue(after(30*time.Second), begin, 0))
	is.True(!trials.IsDue(after(30*time.Second), begin, 1))
	is.True(trials.IsDue(after(time.Hour), begin, 1))
	is.True(!trials.IsDue(after(time.Hour), begin, 2))
	is.True(!trials.IsDue(after(time.Hour), time.Time{}, 0)) // it is not known since when
}
