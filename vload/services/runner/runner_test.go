package runner_test

import (
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenaroad.example/share/models/config"
	"verbenaroad.example/vload/models/report"
	"verbenaroad.example/vload/models/scene"
)

func TestCompleteAnswersAreCounted(t *testing.T) {
	is := is.New(t)
	ids := &requestCounter{}
	s := newScenario(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/v1/pipelines/draft" || r.Header.Get("Verbena-Deadline") != "1m0s" ||
			r.Header.Get("Verbena-Priority") != "urgent" || r.Header.Get("Authorization") != "Bearer t" {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		writeTokens(w, 3)
		writeEnd(w, ids.next())
	})
	s.Classes[0].ExpectTokens = 3
	f := runScenario(t, s)
	is.Equal(f["offered"], report.Figure(49))
	is.Equal(f["attained"], f["offered"])
	is.Equal(f["tokens"], 3*f["offered"])
	is.Equal(f["duplicate-request-ids"], report.Figure(0))
	is.True(f["first-token-p50"].Available())
	is.True(f["between-tokens-p99"].Available())
}

// A tool that waits for an answer before it sends the next request sees one slow request when the
// server stalls for a second. Latency measured from the intended send time shows the stall in every
// request that was due during it.
func TestStallShowsInLatencyPercentiles(t *testing.T) {
	is := is.New(t)
	const stall = time.Second
	var once sync.Once
	var until time.Time
	ids := &requestCounter{}
	s := newScenario(t, func(w http.ResponseWriter, _ *http.Request) {
		once.Do(func() { until = time.Now().Add(stall) })
		time.Sleep(time.Until(until))
		writeTokens(w, 1)
		writeEnd(w, ids.next())
	})
	s.Classes[0].Deadline = config.Duration(200 * time.Millisecond)
	f := runScenario(t, s)
	// Requests are due within 0.5 s of the first, so the least wait is 0.5 s and half of
	// them wait 0.75 s or more. Only lower bounds are checked, since they hold
	// however slow the machine is.
	is.True(f["latency-p50"] >= 700)
	is.True(f["latency-p99"] >= 900)
	is.Equal(f["whole"], f["offered"])
	is.Equal(f["attained"], report.Figure(0))
	is.Equal(f["late"], f["offered"])
}

// A truncated answer must not count as complete: a stream may end in order and with status 200, but
// without its end record, which the caller API requires.
func TestTruncatedOrMalformedAnswersAreIncomplete(t *testing.T) {
	tests := map[string]http.HandlerFunc{
		"no end record": func(w http.ResponseWriter, _ *http.Request) { writeTokens(w, 3) },
		"end record truncated": func(w http.ResponseWriter, _ *http.Request) {
			writeTokens(w, 3)
			writef(w, "event: end\ndata: {\"code\":0}\n")
		},
		"end record without code": func(w http.ResponseWriter, _ *http.Request) {
			writeTokens(w, 3)
			writef(w, "event: end\ndata: {}\n\n")
		},
		"token missing": func(w http.ResponseWriter, _ *http.Request) {
			writeTokens(w, 2)
			writeEnd(w, 1)
		},
		"event after the end": func(w http.ResponseWriter, _ *http.Request) {
			writeTokens(w, 3)
			writeEnd(w, 1)
			writef(w, "data: {}\n\n")
		},
		"connection cut": func(w http.ResponseWriter, _ *http.Request) {
			writeTokens(w, 3)
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		},
		"not a stream": func(w http.ResponseWriter, _ *http.Request) { writef(w, "{}") },
	}
	for name, handler := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newScenario(t, handler)
			s.Phases[0].Duration = config.Duration(50 * time.Millisecond)
			s.Classes[0].ExpectTokens = 3
			f := runScenario(t, s)
			is.Equal(f["incomplete"], f["offered"])
			is.Equal(f["attained"], report.Figure(0))
		})
	}
}

func TestEndingsAreDistinguished(t *testing.T) {
	ids := &requestCounter{}
	tests := map[string]struct {
		handler http.HandlerFunc
		change  func(s *scene.Scenario)
		metric  string
	}{
		"refusal": {
			handler: func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(http.StatusServiceUnavailable)
				writef(w, `{"code":2002,"name":"overloaded","outcome":"not-run","retry-after":"1.5s"}`)
			},
			metric: "refused/overloaded",
		},
		"refusal in the end record": {
			handler: func(w http.ResponseWriter, _ *http.Request) {
				writeTokens(w, 1)
				writef(w, "event: end\ndata: {\"code\":3002,\"name\":\"backend-failed\",\"outcome\":\"ran\"}\n\n")
			},
			metric: "refused/backend-failed",
		},
		"status without a body": {
			handler: func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusBadGateway) },
			metric:  "refused/http-502",
		},
		"timeout": {
			handler: func(_ http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				<-r.Context().Done()
			},
			change: func(s *scene.Scenario) {
				s.Classes[0].Deadline = config.Duration(time.Millisecond)
				s.LateWait = config.Duration(100 * time.Millisecond)
			},
			metric: "timeout",
		},
		"connection": {
			handler: func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) },
			metric:  "connection",
		},
		"request id used twice": {
			handler: func(w http.ResponseWriter, _ *http.Request) {
				writeTokens(w, 1)
				writeEnd(w, 1)
			},
			change: func(s *scene.Scenario) { s.Phases = append([]scene.Phase{warmUpPhase(s)}, s.Phases...) },
			metric: "duplicate-request-ids",
		},
		"another request's answer": {
			handler: func(w http.ResponseWriter, _ *http.Request) {
				id := ids.next()
				writeTokens(w, id)
				writeEnd(w, id)
			},
			change: func(s *scene.Scenario) {
				s.Phases = append([]scene.Phase{warmUpPhase(s)}, s.Phases...)
				s.Classes[0].SameAnswer = true
				s.Classes[0].Prompt.Distinct = 1
			},
			metric: "differing-answers",
		},
		"same answers": {
			handler: func(w http.ResponseWriter, _ *http.Request) {
				writeTokens(w, 4)
				writeEnd(w, ids.next())
			},
			change: func(s *scene.Scenario) {
				s.Classes[0].SameAnswer = true
				s.Classes[0].Prompt.Distinct = 1
			},
			metric: "attained",
		},
		"engine": {
			handler: func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path != "/v1/completions" {
					return
				}
				writeTokens(w, 2)
				writef(w, "data: {\"choices\":[],\"usage\":{\"completion_tokens\":2}}\n\ndata: [DONE]\n\n")
			},
			change: func(s *scene.Scenario) {
				s.Target.Kind = scene.TargetEngine
				s.Classes[0].ExpectTokens = 2
			},
			metric: "attained",
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := newScenario(t, test.handler)
			s.Phases[0].Duration = config.Duration(100 * time.Millisecond)
			if test.change != nil {
				test.change(s)
			}
			f := runScenario(t, s)
			is.Equal(f["offered"], report.Figure(9))
			is.Equal(f[test.metric], f["offered"])
			is.True(f["differing-answers"] == 0 || test.metric == "differing-answers")
		})
	}
}

// warmUpPhase returns a copy of the first phase that is marked as warm-up and thus left out of the
// figures.
func warmUpPhase(s *scene.Scenario) scene.Phase {
	p := s.Phases[0]
	p.Name = "warm"
	p.WarmUp = true
	return p
}

func TestRetryAfterHeaderIsCounted(t *testing.T) {
	is := is.New(t)
	s := newScenario(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Retry-After", "2")
		w.WriteHeader(http.StatusTooManyRequests)
		writef(w, `{"code":2003,"name":"team-limit","outcome":"not-run"}`)
	})
	f := runScenario(t, s)
	is.Equal(f["retry-after-seen"], f["offered"])
	is.Equal(f["retry-after-mean"], report.Figure(2))
	is.Equal(f["refused-outcome/not-run"], f["offered"])
}

func TestArrivalsOverMaxInFlightCountAsNotSent(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	ids := &requestCounter{}
	s := newScenario(t, func(w http.ResponseWriter, _ *http.Request) {
		if ids.next() == 1 {
			time.AfterFunc(time.Second, func() { close(release) })
		}
		<-release
		writeTokens(w, 1)
		writeEnd(w, 1)
	})
	s.MaxInFlight = 4
	f := runScenario(t, s)
	is.Equal(f["offered"], report.Figure(49))
	is.Equal(f["whole"]+f["not-sent"], f["offered"])
	is.True(f["not-sent"] > 0)
}

func TestRepeatedKeysCarryTheSameBody(t *testing.T) {
	is := is.New(t)
	var mutex sync.Mutex
	bodies := make(map[string][]string)
	s := newScenario(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		key := r.Header.Get("Idempotency-Key")
		mutex.Lock()
		bodies[key] = append(bodies[key], string(body))
		mutex.Unlock()
		writeTokens(w, 1)
		writeEnd(w, 1)
	})
	s.Classes[0].Key = scene.KeyRepeat
	s.Classes[0].KeyRepeats = 2
	f := runScenario(t, s)
	is.Equal(f["attained"], f["offered"])
	is.Equal(f["duplicate-request-ids"], report.Figure(0))
	is.Equal(len(bodies), 25) // 49 requests, two to a key
	for _, same := range bodies {
		is.True(len(same) == 1 || same[0] == same[1])
	}
}

// A request with an idempotency key must not be sent twice. The server reads a request on a reused
// connection and closes it without an answer; net/http takes a POST with such a key for idempotent
// and would retry it on another connection.
func TestRequestWithKeyIsSentOnce(t *testing.T) {
	is := is.New(t)
	ids := &requestCounter{}
	var mutex sync.Mutex
	runs := make(map[string]int)
	s := newScenario(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		mutex.Lock()
		runs[r.Header.Get("Idempotency-Key")]++
		mutex.Unlock()
		id := ids.next()
		if id%2 == 0 {
			panic(http.ErrAbortHandler)
		}
		writeTokens(w, 1)
		writeEnd(w, id)
	})
	s.Classes[0].Key = scene.KeyUnique
	f := runScenario(t, s)
	is.Equal(f["connection"], report.Figure(24)) // every second of 49
	is.Equal(report.Figure(len(runs)), f["offered"])
	for _, count := range runs {
		is.Equal(count, 1)
	}
}

func TestClosedModeSendsOneRequestAtATimePerWorker(t *testing.T) {
	is := is.New(t)
	var mutex sync.Mutex
	ids := &requestCounter{}
	s := newScenario(t, func(w http.ResponseWriter, _ *http.Request) {
		if !mutex.TryLock() {
			w.WriteHeader(http.StatusConflict)
			return
		}
		writeTokens(w, 1)
		writeEnd(w, ids.next())
		mutex.Unlock()
	})
	s.Mode = scene.ModeClosed
	s.Workers = 1
	f := runScenario(t, s)
	is.True(f["offered"] > 0)
	is.Equal(f["whole"], f["offered"])
}
