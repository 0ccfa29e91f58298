package main

import (
	"fmt"
	"regexp"
	"strconv"
	"sync"
	"time"
)

// runSwap replaces the only replica of a service by one of another software version, while streams run, and kills
// all ingresses after that. The clients take their streams up again at the ingresses that have started anew.
func runSwap(w *world) (broken string, err error) {
	const (
		streams = 8
		events  = 48
		pause   = 250 * time.Millisecond
		// serveOn is how long the first replica serves after its entry was removed.
		serveOn = 14 * time.Second
	)
	first, err := w.addReplica(&replica{id: "i-first", service: "models", zone: "z1", version: "7.1", events: events, pause: pause})
	if err != nil {
		return "", err
	}
	w.putConfig(3, []map[string]any{{
		"Name": "review", "Host": host, "Prefix": "/review/", "Type": "streaming", "Service": "models", "MaxAttempts": 2,
		"TimeoutMs": 20000, "TargetLatencyMs": 2300, "TargetGapMs": 500, "Priority": 1, "Resumable": true, "Sticky": true, "Public": false,
	}}, []map[string]any{{"Name": "models", "HealthPath": "/healthz", "MaxConnections": 630, "Engine": engine()}}, tenants())
	if err := w.startIngresses(2); err != nil {
		return "", err
	}
	done := sync.WaitGroup{}
	seen := make([]map[string]bool, streams)
	for n := range streams {
		done.Add(1)
		go func() {
			defer done.Done()
			seen[n] = w.takeStream(n, events)
		}()
	}
	time.Sleep(4 * pause)
	first.leave()
	go func() {
		time.Sleep(serveOn)
		first.server.close()
		w.log("replica %s: exits", first.id)
	}()
	time.Sleep(400 * time.Millisecond)
	if _, err := w.addReplica(&replica{id: "i-second", service: "models", zone: "z2", version: "7.2", events: events, pause: pause}); err != nil {
		return "", err
	}
	w.log("replica i-second of version 7.2 is registered")
	time.Sleep(3 * time.Second)
	if w.trouble {
		if err := w.restartAll(time.Second); err != nil {
			return "", err
		}
	}
	done.Wait()
	mixed := 0
	for n, versions := range seen {
		if len(versions) > 1 {
			mixed++
			w.log("stream %d holds events of two versions", n)
		}
	}
	if mixed > 2 {
		return fmt.Sprintf("ORDER: %d of %d streams hold events from replicas of two software versions", mixed, streams), nil
	}
	return "", nil
}

// restartAll kills all ingresses at once, as a loss of power does, and starts them again.
func (w *world) restartAll(down time.Duration) error {
	w.log("all ingresses are killed")
	for _, i := range w.ingresses {
		i.kill()
	}
	time.Sleep(down)
	for _, i := range w.ingresses {
		if err := i.start(); err != nil {
			return err
		}
	}
	return nil
}

var eventForm = regexp.MustCompile(`id: (\d+)\ndata: (\S+)\n\n`)

// takeStream reads a stream, and takes it up again once its connection has broken. It returns the versions that
// made its events.
func (w *world) takeStream(n, events int) map[string]bool {
	versions := map[string]bool{}
	last, begunBy := 0, ""
	ends := time.Now().Add(20 * time.Second)
	for try := 1; time.Now().Before(ends) && last < events; try++ {
		q := request{
			method: "POST", path: fmt.Sprintf("/review/%d", n), id: fmt.Sprintf("s%dt%d", n, try), key: key, body: "notes",
			deadline: time.Until(ends), header: map[string]string{
				"X-Verbenaroad-Model": "m", "X-Verbenaroad-Token-Usage": "500,80", "X-Verbenaroad-Prefix-Hash": fmt.Sprintf("5c1e07a2:400,e4%04x:100", n),
			},
		}
		if last > 0 {
			q.header["Last-Event-Id"], q.header["Resumes"] = strconv.Itoa(last), begunBy
		}
		i := w.ingresses[(n+try)%len(w.ingresses)]
		c, err := dial(i.callers)
		if err != nil {
			time.Sleep(200 * time.Millisecond)
			continue
		}
		from := last
		a := c.send(q, func(text string) {
			for _, e := range eventForm.FindAllStringSubmatch(text, -1) {
				id, _ := strconv.Atoi(e[1])
				if id <= last {
					continue
				}
				if begunBy == "" {
					begunBy = q.id
				}
				last = id
				versions[e[2]] = true
			}
		})
		c.close()
		w.log("client: stream %d, try %s at %s, after event %d: %v, up to event %d, versions so far %v", n, q.id, i.name, from, a, last, versions)
		if a.status == 200 && a.err == nil && last < events {
			w.log("client: stream %d ended before its last event", n)
			return versions
		}
		time.Sleep(300 * time.Millisecond)
	}
	return versions
}

func engine() map[string]any {
	return map[string]any{
		"Slots": 128, "KvCapacityTokens": 264602, "KvBytes": 131072, "LinkMbps": 550000.0, "Moves": true, "Backups": true, "Stride": 3, "most": 12,
		"PinMs": 4000.0, "HoldMs": 2000.0, "HandleTtlS": 5.0, "Models": []map[string]any{{"Name": "m"}},
	}
}

func tenants() []map[string]any {
	return []map[string]any{{"Name": "bozi300", "ApiKeys": []string{key}, "Priority": 1}}
}
