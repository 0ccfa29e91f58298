// Package ledger records every call that a stand-in runs, so that tests can count the runs of a
// request.
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
	// Key is the Idempotency-Key header, or the X-Request-Id header if the former is missing.
	Key string `json:"key"`
	// Attempt is the X-Attempt header.
	Attempt string `json:"attempt,omitempty"`
	Method  string `json:"method"`
	Path    string `json:"path"`
	// BodyDigest is the xxhash of the body in hexadecimal.
	BodyDigest string `json:"body-digest"`
	// Run is the number of the run, counted from 1 over all runs of the stand-in.
	Run     int       `json:"run"`
	Started time.Time `json:"started"`
	// Finished is when the run ended. It is zero during the run, and stays zero if the run was
	// canceled or the process exited.
	Finished time.Time `json:"finished,omitzero"`
}

// Ledger records runs in the order in which they started.
type Ledger struct {
	mutex sync.Mutex
	runs  []Run
	// file receives a JSON line at each start and each finish of a run; nil: no file is written.
	file io.Writer
}

// NewLedger returns an empty Ledger that writes JSON lines to file, unless file is nil.
func NewLedger(file io.Writer) *Ledger {
	return &Ledger{file: file}
}

// Digest returns the BodyDigest of a body.
func Digest(body []byte) string {
	return strconv.FormatUint(xxhash.Sum64(body), 16)
}

// Start records the start of a run and returns the run with its number.
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
	l.writeLine(run)
	return run
}

// Finish records the end of the run with this number.
func (l *Ledger) Finish(number int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	run := &l.runs[number-1]
	run.Finished = time.Now()
	l.writeLine(*run)
}

// writeLine writes the run as a line to the file, if there is one. Errors are ignored.
func (l *Ledger) writeLine(run Run) {
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
