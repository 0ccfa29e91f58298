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
	sign(w)
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	s.lock.Lock()
	version := s.softwareVersion()
	s.lock.Unlock()
	for i := after + 1; i <= s.Events; i++ {
		select {
		case <-time.After(s.EventInterval):
		case <-r.Context().Done():
			return
		}
		event := fmt.Sprintf("id: %d\ndata: %s %s\n\n", i, r.Header.Get("X-Verbenaroad-Attempt-Id"), version)
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
