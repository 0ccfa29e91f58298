package mesh_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	configKey = "op/config"
	// applyLimit is the time within which a new configuration must be in force on all instances. A link may
	// carry no more for it than it does in this time.
	applyLimit = 4 * time.Second
	// settleTime is long enough for each instance to follow another one or to read the store.
	settleTime = 2 * time.Second
	// manyRoutes is the number of routes that make a configuration of one megabyte, the largest
	// that the store accepts.
	manyRoutes = 3900
)

// newConfig returns a configuration with the given number of routes, whose names are random and
// thus hardly compressible.
func newConfig(version uint64, routes int) []byte {
	random := rand.New(rand.NewPCG(version, 1)) //nolint:gosec // a test's data
	randomHex := func() string { return fmt.Sprintf("%08x", random.Uint32()) }
	list := make([]map[string]any, 0, routes)
	for range routes {
		list = append(list, map[string]any{
			"Name": "r-" + randomHex(), "Host": randomHex() + ".example", "Prefix": "/" + randomHex() + "/", "Type": "safe",
			"TimeoutMs": 1500, "TargetLatencyMs": 300, "Priority": 2, "Service": "s-" + randomHex(), "MaxAttempts": 2,
			"Stages": []any{}, "Public": false, "Sticky": false, "Resumable": false,
		})
	}
	encoded, err := json.Marshal(map[string]any{"Version": version, "Routes": list, "Services": []any{}})
	if err != nil {
		panic(err) // impossible: all values are created above
	}
	return encoded
}

// hasVersion returns a condition that holds at an instance that has the version or a higher one.
func hasVersion(version uint64) func(i *instance) bool {
	return func(i *instance) bool { return i.book.View().Version() >= version }
}

// Guards against ingresses on slow links that never receive a large configuration because each
// transfer is abandoned before its end and started again.
func TestLargeConfigReachesSlowLinks(t *testing.T) {
	// On the slower links even a compressed configuration takes longer than silenceTimeout.
	for _, mbps := range []float64{10, 1} {
		t.Run(fmt.Sprint(mbps), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			rates := []linkRate{}
			for _, domain := range []string{"a1", "b1", "c1"} {
				rates = append(rates, linkRate{domain: domain}, linkRate{domain: domain}, linkRate{domain: domain, mbps: mbps})
			}
			f := newFleet(t, map[string]string{"a1": "a", "b1": "b", "c1": "c"}, rates)
			f.records.put(configKey, newConfig(1, 4))
			f.start()
			f.eventually("all have the first version", hasVersion(1))
			time.Sleep(settleTime)
			for version := uint64(2); version < 5; version++ {
				f.checkChange(is, newConfig(version, manyRoutes), version)
			}
		})
	}
}

// Guards against the same fault in a failure domain whose ingresses all have slow links, including
// the one that reads the store.
func TestLargeConfigReachesSlowDomain(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, map[string]string{"a1": "a", "b1": "b"}, []linkRate{
		{domain: "a1"}, {domain: "a1"}, {domain: "b1", mbps: 10}, {domain: "b1", mbps: 10}, {domain: "b1", mbps: 10},
	})
	f.records.put(configKey, newConfig(1, 4))
	f.start()
	f.eventually("all have the first version", hasVersion(1))
	time.Sleep(settleTime)
	for version := uint64(2); version < 5; version++ {
		f.checkChange(is, newConfig(version, manyRoutes), version)
	}
}

// checkChange changes the configuration and checks that it reaches all instances, and those on slow links only
// once. It counts bytes, since the time that passes depends on what else the machine does.
func (f *fleet) checkChange(is *is.I, config []byte, version uint64) {
	f.t.Helper()
	before := f.countReceivedBytes()
	f.records.put(configKey, config)
	f.eventually("all have the new version", hasVersion(version))
	time.Sleep(settleTime / 2)
	for i, count := range f.countReceivedBytes() {
		received, limit := count-before[i], min(2*len(config), int(i.down.bytesPerSecond*applyLimit.Seconds()))
		f.t.Logf("version %d of %d bytes: %s received %d, limit %d", version, len(config), i.self.Name, received, limit)
		is.True(received < limit)
	}
}
