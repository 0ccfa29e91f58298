package mesh_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

const (
	// restoreInForce is how long after it was written in a restored store a configuration must be in force
	// everywhere.
	restoreInForce = 2500 * time.Millisecond
	// calmTime is long enough for a fleet to reach a steady state.
	calmTime = 15 * time.Second
)

// Guards against a store that is overloaded when it has just been restored, because each instance lists it, and
// against instances that ask each other again and again for records that none of them has. The pattern: two
// failure domains of 20 and of 60 instances, of which one each watches the store; the store loses its last
// changes, two of which are written again.
func TestRestoreCostsOneListingForEachDomain(t *testing.T) {
	clearPools()
	defer clearPools()
	synctest.Test(t, func(t *testing.T) {
		for _, perDomain := range []int{20, 60} {
			f := startFirst(t, perDomain)
			time.Sleep(calmTime)
			all, revision := f.records.backup()
			for n := range 10 {
				f.records.put(fmt.Sprintf("servers/i-%d", n), []byte(`{"Service":"s","Address":"10.0.0.1:80","Zone":"z","State":"ready","Version":"v1","Slots":4,"ColdRemainingMs":0,"Sequence":1}`))
			}
			f.records.put("op/config", []byte(`{"Version":5}`))
			f.eventually("has the configuration", func(i *instance) bool { return i.book.View().Version() == 5 })
			listsBefore, _ := f.records.countReads()
			f.lines.TakeAll()

			f.records.restore(all, revision)
			f.records.put("op/config", []byte(`{"Version":6}`))
			if took := f.wait(restoreInForce, func(i *instance) bool { return i.book.View().Version() == 6 }); took >= restoreInForce {
				t.Errorf("the configuration is not in force everywhere %v after it was written", restoreInForce)
			}
			time.Sleep(calmTime)
			lists, _ := f.records.countReads()
			asked := f.lines.FilterMessage("records-missing").Len()
			t.Logf("%d instances: %d listings, %d pulls", len(f.instances), lists-listsBefore, asked)
			const domains = 2
			if lists-listsBefore > domains {
				t.Errorf("%d listings of all records; allowed are %d", lists-listsBefore, domains)
			}
			f.lines.TakeAll()
			time.Sleep(calmTime)
			if again := f.lines.FilterMessage("records-missing").Len(); asked > len(f.instances) || again > 0 {
				t.Errorf("%d pulls, and %d more after %v", asked, again, calmTime)
			}
		}
	})
}
