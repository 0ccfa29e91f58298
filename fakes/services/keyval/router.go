package keyval

import (
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"verbenaroad.example/fakes/modules/serve"
)

const (
	keyPath          = "/v1/kv/"
	sessionPath      = "/v1/session/"
	maxValueBytes    = 1 << 20
	defaultWait      = 5 * time.Minute
	maxWait          = 10 * time.Minute
	defaultLockDelay = 15 * time.Second
)

// KindOf returns the kind under which a call is counted: read, write or watch.
func KindOf(r *http.Request) string {
	if r.Method != http.MethodGet {
		return "write"
	}
	if r.URL.Query().Get("index") != "" {
		return "watch"
	}
	return "read"
}

// NewRouter returns the HTTP handler of the API.
func (s *Store) NewRouter() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+keyPath, s.getKey)
	mux.HandleFunc("PUT "+keyPath, s.putKey)
	mux.HandleFunc("DELETE "+keyPath, s.deleteKey)
	mux.HandleFunc("PUT "+sessionPath+"create", s.putSession)
	mux.HandleFunc("PUT "+sessionPath+"renew/{id}", s.putRenewal)
	mux.HandleFunc("PUT "+sessionPath+"destroy/{id}", s.putDestroy)
	return mux
}

func keyOf(r *http.Request) string {
	return strings.TrimPrefix(r.URL.Path, keyPath)
}

func (s *Store) getKey(w http.ResponseWriter, r *http.Request) {
	key := keyOf(r)
	query := r.URL.Query()
	prefix := query.Has("recurse") || query.Has("keys")
	if query.Get("index") != "" {
		index, err := strconv.ParseUint(query.Get("index"), 10, 64)
		if err != nil {
			http.Error(w, "index is no number", http.StatusBadRequest)
			return
		}
		s.waitForChange(r, key, prefix, index)
	}
	found, index := s.find(key, prefix)
	w.Header().Set("X-Consul-Index", strconv.FormatUint(index, 10))
	if len(found) == 0 {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if query.Has("keys") {
		serve.WriteJSON(w, keysOf(found))
		return
	}
	serve.WriteJSON(w, found)
}

func keysOf(pairs []pair) []string {
	keys := make([]string, 0, len(pairs))
	for _, p := range pairs {
		keys = append(keys, p.Key)
	}
	return keys
}

// waitForChange blocks until the key or prefix changes after the given index, the wait time of the
// query has passed, or the caller has disconnected. An index of 0 does not block.
func (s *Store) waitForChange(r *http.Request, key string, prefix bool, index uint64) {
	if index == 0 {
		return
	}
	wait, err := time.ParseDuration(r.URL.Query().Get("wait"))
	if err != nil || wait <= 0 {
		wait = defaultWait
	}
	w := s.watch(key, prefix, index)
	if w == nil {
		return
	}
	defer s.unwatch(w)
	timer := time.NewTimer(min(wait, maxWait))
	defer timer.Stop()
	select {
	case <-w.woken:
	case <-timer.C:
	case <-r.Context().Done():
	}
}

func (s *Store) putKey(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if len(value) > maxValueBytes {
		http.Error(w, "value is over the limit", http.StatusRequestEntityTooLarge)
		return
	}
	query := r.URL.Query()
	switch {
	case query.Has("acquire"):
		s.putAcquire(w, keyOf(r), value, query.Get("acquire"))
	case query.Has("release"):
		serve.WriteJSON(w, s.release(keyOf(r), value, query.Get("release")))
	default:
		s.putValue(w, keyOf(r), value, query)
	}
}

func (s *Store) putAcquire(w http.ResponseWriter, key string, value []byte, id string) {
	acquired, sessionExists := s.acquire(key, value, id)
	if !sessionExists {
		http.Error(w, "invalid session "+strconv.Quote(id), http.StatusInternalServerError)
		return
	}
	serve.WriteJSON(w, acquired)
}

func (s *Store) putValue(w http.ResponseWriter, key string, value []byte, query url.Values) {
	cas, ok := parseCAS(w, query)
	if !ok {
		return
	}
	flags, _ := strconv.ParseUint(query.Get("flags"), 10, 64)
	serve.WriteJSON(w, s.put(key, value, flags, cas))
}

// parseCAS returns nil if the query has no cas. If cas is not a number, it answers the call with
// status 400 and returns false.
func parseCAS(w http.ResponseWriter, query url.Values) (*uint64, bool) {
	if !query.Has("cas") {
		return nil, true
	}
	cas, err := strconv.ParseUint(query.Get("cas"), 10, 64)
	if err != nil {
		http.Error(w, "cas is no number", http.StatusBadRequest)
		return nil, false
	}
	return &cas, true
}

func (s *Store) deleteKey(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	if query.Has("recurse") {
		s.removePrefix(keyOf(r))
		serve.WriteJSON(w, true)
		return
	}
	cas, ok := parseCAS(w, query)
	if !ok {
		return
	}
	serve.WriteJSON(w, s.remove(keyOf(r), cas))
}

// sessionBody is the body of a request that creates a session; the field names are part of Consul's
// format.
type sessionBody struct {
	Name      string
	TTL       string
	LockDelay string
	Behavior  string
}

type sessionAnswer struct {
	ID   string
	Name string `json:",omitempty"`
	TTL  string `json:",omitempty"`
}

func (s *Store) putSession(w http.ResponseWriter, r *http.Request) {
	var body sessionBody
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil && err != io.EOF {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	settings, err := body.toSession()
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	serve.WriteJSON(w, sessionAnswer{ID: s.createSession(settings)})
}

func (b sessionBody) toSession() (session, error) {
	settings := session{name: b.Name, behavior: b.Behavior, lockDelay: defaultLockDelay}
	var err error
	if b.TTL != "" {
		if settings.ttl, err = time.ParseDuration(b.TTL); err != nil {
			return session{}, err
		}
	}
	if b.LockDelay != "" {
		if settings.lockDelay, err = time.ParseDuration(b.LockDelay); err != nil {
			return session{}, err
		}
	}
	return settings, nil
}

func (s *Store) putRenewal(w http.ResponseWriter, r *http.Request) {
	renewed := s.renewSession(r.PathValue("id"))
	if renewed == nil {
		http.Error(w, "no such session", http.StatusNotFound)
		return
	}
	serve.WriteJSON(w, []sessionAnswer{{ID: renewed.id, Name: renewed.name, TTL: renewed.ttl.String()}})
}

func (s *Store) putDestroy(w http.ResponseWriter, r *http.Request) {
	s.destroySession(r.PathValue("id"))
	serve.WriteJSON(w, true)
}
