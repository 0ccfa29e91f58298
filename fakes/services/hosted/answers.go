package hosted

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// answer answers a plain request, with the fault.
func (s *Server) answer(w http.ResponseWriter, r *http.Request, fault Fault) {
	select {
	case <-time.After(s.WorkTime):
	case <-r.Context().Done():
		return
	}
	text := "answer of " + s.ID + " to " + r.Header.Get("X-Verbenaroad-Attempt-Id")
	text += strings.Repeat(".", max(s.AnswerBytes-len(text), 0))
	switch fault {
	case UnclassifiedFailure:
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case CutAfterRun:
		cut(w)
		return
	case Hang:
		<-r.Context().Done()
		return
	case Fail:
		sign(w)
		w.WriteHeader(http.StatusInternalServerError)
		return
	case Truncate:
		sign(w)
		w.Header().Set("Content-Length", strconv.Itoa(len(text)))
		_, _ = io.WriteString(w, text[:len(text)/2])
		_ = http.NewResponseController(w).Flush()
		cut(w)
		return
	case Unframed, UnframedReset:
		answerUnframed(w, text, fault)
		return
	case WrongID:
		w.Header().Set("X-Verbenaroad-Attempt-Id", "ffffffffffffffff")
	}
	if fault != Unsigned {
		sign(w)
	}
	_, _ = io.WriteString(w, text)
}

// stream sends the events after Last-Event-Id; the data of each event is the attempt ID of the
// request and the software version of the server.
func (s *Server) stream(w http.ResponseWriter, r *http.Request, fault Fault) {
	after, err := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	if err != nil {
		after = 0
	}
	if fault == CutBeforeAnswer {
		cut(w)
		return
	}
	if fault == Fail {
		sign(w)
		w.WriteHeader(http.StatusInternalServerError)
		_, _ = io.WriteString(w, "failed")
		return
	}
	setStreamHead(w)
	control := http.NewResponseController(w)
	s.lock.Lock()
	version := s.softwareVersion()
	s.lock.Unlock()
	if fault == Unframed || fault == UnframedStop {
		s.streamUnframed(w, r, fault, after, version)
		return
	}
	for i := after + 1; i <= s.Events; i++ {
		select {
		case <-time.After(s.EventInterval):
		case <-r.Context().Done():
			return
		}
		event := newEvent(i, r, version)
		if fault == CutStream && i == after+3 {
			_, _ = io.WriteString(w, event[:len(event)/2])
			_ = control.Flush()
			cut(w)
			return
		}
		_, _ = io.WriteString(w, event)
		_ = control.Flush()
	}
}

func setStreamHead(w http.ResponseWriter) {
	sign(w)
	w.Header().Set("Content-Type", "text/event-stream")
}

// sendStreamHead sends the head of a stream before its first event.
func sendStreamHead(w http.ResponseWriter) {
	setStreamHead(w)
	w.WriteHeader(http.StatusOK)
	_ = http.NewResponseController(w).Flush() // an error means that the caller has disconnected
}

func newEvent(id int, r *http.Request, version string) string {
	return fmt.Sprintf("id: %d\ndata: %s %s\n\n", id, r.Header.Get("X-Verbenaroad-Attempt-Id"), version)
}

// streamUnframed sends events that end with the connection. With UnframedStop it ends in the middle of the
// third one.
func (s *Server) streamUnframed(w http.ResponseWriter, r *http.Request, fault Fault, after int, version string) {
	u := beginUnframed(w)
	if u == nil {
		return
	}
	defer u.end()
	for i := after + 1; i <= s.Events; i++ {
		time.Sleep(s.EventInterval)
		event := newEvent(i, r, version)
		if fault == UnframedStop && i == after+3 {
			u.write(event[:len(event)/2])
			return
		}
		u.write(event)
	}
}
