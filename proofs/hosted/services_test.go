package hosted_test

import (
	"sync"
	"testing"
	"time"

	"verbenaroad.example/fakes/services/hosted"
)

// Guards against streams that go on at another service of their route than the one that began them, or at one that the route was
// moved to meanwhile, because nobody has held their memos since all ingresses were killed.
func TestStreamsStayAtTheirServiceAfterTheLossOfAllIngresses(t *testing.T) {
	const left, right = "novels-left", "novels-right"
	split := []map[string]any{{"Service": left, "Weight": 50}, {"Service": right, "Weight": 50}}
	for name, moved := range map[string]bool{"split": false, "moved": true} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t, 3)
			route := hosted.Route{
				"Name": "novel", "Host": host, "Prefix": "/novel/", "Type": "streaming", "TimeoutMs": 8000, "TargetLatencyMs": 2000,
				"TargetGapMs": 500, "MaxAttempts": 2, "Resumable": true, "Priority": 2, "Backends": split,
			}
			if moved {
				route["Backends"] = split[:1]
			}
			for _, service := range []string{left, right} {
				engine := services()[1]
				engine["Name"] = service
				d.addedServices = append(d.addedServices, engine)
				d.add(&hosted.Server{Service: service, Zone: "a1", Events: 30, EventInterval: 100 * time.Millisecond, Version: service})
			}
			d.addRoute(route)
			for _, i := range d.ingresses {
				eventually(t, i.name+" has seen both services", func() bool { return i.hasInventory(left, left) && i.hasInventory(right, right) })
			}
			streams, done := []*resumedStream{}, sync.WaitGroup{}
			for range testedStreams {
				s := &resumedStream{isNovel: true}
				streams = append(streams, s)
				done.Add(1)
				go s.run(&done, d.ingresses[0], d.ingresses)
			}
			time.Sleep(time.Second)
			if moved {
				route["Backends"] = split[1:]
				version := d.putConfig(tenants())
				eventually(t, "the route is moved", d.ingresses[0].hasApplied(version))
			}
			d.killAll(500*time.Millisecond, func() {})
			done.Wait()
			checkVersions(t, streams)
		})
	}
}
