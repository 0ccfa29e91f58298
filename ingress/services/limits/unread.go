package limits

import (
	"go.uber.org/zap"

	"verbenaroad.example/share/models/site"
)

const (
	// maxUnread limits how many headers are reported.
	maxUnread = 32
	// maxShownValue limits how many bytes of the value of a header are logged.
	maxShownValue = 64
)

// reportUnread logs each header of an answer that is not read, once. It may be something that the server
// states about itself.
func (r *Registry) reportUnread(server *site.Server, a site.Answer) {
	for _, name := range a.Unread {
		if r.isNewHeader(name) {
			value := a.Header.Get(name)
			r.log.Warn("answer-header-unread", zap.String("header", name), zap.String("value", value[:min(len(value), maxShownValue)]),
				zap.String("server", server.ID), zap.String("service", server.Service), zap.String("request", a.AttemptID))
		}
	}
}

// isNewHeader reports whether a header was not reported before, and records it.
func (r *Registry) isNewHeader(name string) bool {
	r.lock.Lock()
	defer r.lock.Unlock()
	if r.unread[name] || len(r.unread) >= maxUnread {
		return false
	}
	r.unread[name] = true
	return true
}
