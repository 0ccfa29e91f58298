// Package ledger records every run of a stand-in, so that runs of one
// request can be counted.
package ledger

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Run is one run of a call.
type Run struct {
	// Key is the Idempotency-Key header, or the X-Request-Id header where there is none.
	Key string `json:"key"`
	// Attempt is the X-Attempt header.
	Attempt string `json:"attempt,omitempty"`
	Method  string `json:"method"`
	Path    string `json:"path"`
	// BodyDigest is the xxhash of the body in hex.
	BodyDigest string `json:"body-digest"`
	// Run counts from 1 over all runs of the stand-in.
	Run     int       `json:"run"`
	Started time.Time `json:"started"`
	// Finished is zero while the run lasts, and for good when it was canceled or the process died.
	Finished time.Time `json:"finished,omitzero"`
}

// Ledger keeps the runs in the order of their start.
type Ledger struct {
	mutex sync.Mutex
	runs  []Run
	// file takes a line at each start and each finish; nil: none.
	file io.Writer
}

// NewLedger returns an empty Ledger that appends JSON lines to file unless it is nil.
func NewLedger(file io.Writer) *Ledger {
	return &Ledger{file: file}
}

// Digest returns the form in which a ledger keeps a body.
func Digest(body []byte) string {
	return strconv.FormatUint(xxhash.Sum64(body), 16)
}

// Start records the start of a run and returns its number.
func (l *Ledger) Start(r *http.Request, body []byte) Run {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	key := r.Header.Get("Idempotency-Key")
	if key == "" {
		key = r.Header.Get("X-Request-Id")
	}
	run := Run{
		Key:        key,
		Attempt:    r.Header.Get("X-Attempt"),
		Method:     r.Method,
		Path:       r.URL.Path,
		BodyDigest: Digest(body),
		Run:        len(l.runs) + 1,
		Started:    time.Now(),
	}
	l.runs = append(l.runs, run)
	l.append(run)
	return run
}

// Finish records the end of a run.
func (l *Ledger) Finish(number int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	run := &l.runs[number-1]
	run.Finished = time.Now()
	l.append(*run)
}

func (l *Ledger) append(run Run) {
	if l.file == nil {
		return
	}
	line, err := json.Marshal(run)
	if err != nil {
		return
	}
	_, _ = l.file.Write(append(line, '\n'))
}

// FindRuns returns the runs recorded so far.
func (l *Ledger) FindRuns() []Run {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return append([]Run{}, l.runs...)
}
