package admin_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenaroad.example/entry/routers/admin"
	"verbenaroad.example/entry/services/change"
	"verbenaroad.example/entry/services/lookup"
	"verbenaroad.example/share/models/config"
	"verbenaroad.example/share/modules/codes"
	"verbenaroad.example/share/services/admapi"
	"verbenaroad.example/share/services/store"
)

// system is the admin API with a key-value service in memory.
type system struct {
	mutex  sync.Mutex
	index  uint64
	values map[string]store.Value
	// down makes every operation of the key-value service time out.
	down bool
	// loseAnswers makes the next swap of the head take effect and time out. It sets down.
	loseAnswers bool
	reader      *store.Reader
	router      *admin.Router
	// notLoaded means that the process has no configuration, because it has just started.
	notLoaded bool
	// stale is the configuration in force in the process; nil: the one in the key-value service.
	stale *config.Loaded
}

func newSystem() *system {
	s := &system{values: map[string]store.Value{}}
	s.reader = store.NewReader(s, store.DefaultPrefix)
	s.router = admin.NewRouter(admin.Options{
		Changes:         change.NewService(store.NewWriter(s, s.reader), s),
		Lookups:         lookup.NewService(s.reader, s),
		Snapshots:       s,
		BootstrapSHA256: config.DigestToken("bootstrap-token"),
	})
	return s
}

func (s *system) Get(_ context.Context, key string) (store.Value, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.down {
		return store.Value{}, context.DeadlineExceeded
	}
	return s.values[key], nil
}

func (s *system) CompareAndSwap(_ context.Context, key string, data []byte, index uint64) (bool, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.down {
		return false, context.DeadlineExceeded
	}
	if s.values[key].Index != index {
		return false, nil
	}
	s.index++
	s.values[key] = store.Value{Data: data, Index: s.index}
	if s.loseAnswers && strings.HasSuffix(key, "head") {
		s.down = true
		return false, context.DeadlineExceeded
	}
	return true, nil
}

func (s *system) Watch(ctx context.Context, key string, _ uint64, _ time.Duration) (store.Value, error) {
	return s.Get(ctx, key)
}

func (s *system) Snapshot() *config.Snapshot {
	loaded := s.GetLoaded()
	if loaded == nil {
		return nil
	}
	return loaded.Snapshot
}

// GetLoaded returns the configuration in force in the process. Unless the process is stale or has
// just started, that is the one in the key-value service, also while the service is down.
func (s *system) GetLoaded() *config.Loaded {
	if s.stale != nil {
		return s.stale
	}
	s.mutex.Lock()
	down := s.down
	s.down = false
	s.mutex.Unlock()
	defer func() {
		s.mutex.Lock()
		s.down = down
		s.mutex.Unlock()
	}()
	answer, err := s.reader.ReadHead(context.Background())
	if err != nil || answer.Index == 0 || s.notLoaded {
		return nil
	}
	loaded, err := s.reader.Load(context.Background(), nil, answer.Head.Version)
	if err != nil {
		return nil
	}
	return loaded
}

const firstTemplate = `
[[operator]]
name = "ana"
token-sha256 = "DIGEST-ANA"
role = "change"

[[operator]]
name = "bor"
token-sha256 = "DIGEST-BOR"
role = "read"

[[team]]
name = "kranj"
token-sha256 = ["DIGEST-KRANJ"]
priority = "normal"
weight = 1.0
`

func firstText() string {
	r := strings.NewReplacer(
		"DIGEST-ANA", config.DigestToken("ana-token"),
		"DIGEST-BOR", config.DigestToken("bor-token"),
		"DIGEST-KRANJ", config.DigestToken("kranj-token"),
	)
	return r.Replace(firstTemplate)
}

func (s *system) call(t *testing.T, token, method, path, body string) (int, admapi.Error, string) {
	t.Helper()
	q := httptest.NewRequestWithContext(t.Context(), method, path, strings.NewReader(body))
	if token != "" {
		q.Header.Set("Authorization", "Bearer "+token)
	}
	w := httptest.NewRecorder()
	s.router.ServeHTTP(w, q)
	var e admapi.Error
	text := w.Body.String()
	_ = json.Unmarshal([]byte(text), &e)
	return w.Code, e, text
}

func (s *system) bootstrap(t *testing.T) {
	t.Helper()
	status, _, text := s.call(t, "bootstrap-token", http.MethodPut, "/admin/v1/changes/first", firstText())
	if status != http.StatusOK {
		t.Fatal(text)
	}
}

func TestAuthorization(t *testing.T) {
	s := newSystem()
	s.bootstrap(t)
	tests := []struct {
		name, token, method, path string
		status                    int
		code                      codes.Code
	}{
		{"no token", "", http.MethodGet, "/admin/v1/config", 401, codes.BadToken},
		{"wrong token", "xyz", http.MethodGet, "/admin/v1/config", 401, codes.BadToken},
		{"bootstrap token after the first change", "bootstrap-token", http.MethodGet, "/admin/v1/config", 401, codes.BadToken},
		{"a team's token", "kranj-token", http.MethodGet, "/admin/v1/config", 401, codes.BadToken},
		{"reader reads", "bor-token", http.MethodGet, "/admin/v1/config", 200, codes.OK},
		{"reader may not change", "bor-token", http.MethodPut, "/admin/v1/changes/x", 403, codes.Forbidden},
		{"reader may not drain", "bor-token", http.MethodPost, "/admin/v1/drains/x", 403, codes.Forbidden},
		{"reader may not resolve claims", "bor-token", http.MethodPost, "/admin/v1/claims/a/b", 403, codes.Forbidden},
		{"service not in the options", "ana-token", http.MethodGet, "/admin/v1/status", 404, codes.NotFound},
		{"no such path", "ana-token", http.MethodGet, "/admin/v2", 404, codes.NotFound},
		{"no such kind", "ana-token", http.MethodGet, "/admin/v1/config/zone", 404, codes.NotFound},
		{"no such name", "ana-token", http.MethodGet, "/admin/v1/config/team/celje", 404, codes.NotFound},
		{"by name", "bor-token", http.MethodGet, "/admin/v1/config/team/kranj", 200, codes.OK},
		{"bad base", "ana-token", http.MethodPut, "/admin/v1/changes/x?base=one", 400, codes.BadRequest},
		{"bad id", "ana-token", http.MethodPut, "/admin/v1/changes/a%20b", 400, codes.BadRequest},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			status, e, _ := s.call(t, tt.token, tt.method, tt.path, "")
			is.Equal(status, tt.status)
			is.Equal(e.Code, tt.code)
			if status != http.StatusOK {
				is.Equal(e.Name, tt.code.Name())
				is.True(e.RequestID != "")
			}
		})
	}
}

// The bootstrap token is valid for the first change only. Guards against a second change with it
// through an entry that has restarted and not loaded the configuration yet.
func TestBootstrapTokenIsRefusedAfterTheFirstChange(t *testing.T) {
	is := is.New(t)
	s := newSystem()
	s.bootstrap(t)
	s.notLoaded = true
	status, e, _ := s.call(t, "bootstrap-token", http.MethodPut, "/admin/v1/changes/second", firstText())
	is.Equal(status, http.StatusConflict)
	is.Equal(e.Code, codes.ConfigConflict)
}

func TestInvalidChangeReportsLines(t *testing.T) {
	is := is.New(t)
	s := newSystem()
	s.bootstrap(t)
	body := "[[team]]\nname = \"celje\"\ntoken-sha256 = [\"ab\"]\npriority = \"high\"\nweight = 1.0\n"
	status, e, _ := s.call(t, "ana-token", http.MethodPut, "/admin/v1/changes/x", body)
	is.Equal(status, http.StatusUnprocessableEntity)
	is.Equal(len(e.Problems), 2)
	is.Equal(e.Problems[0].Line, 3)
	is.Equal(e.Problems[1].Line, 4)
	status, e, _ = s.call(t, "ana-token", http.MethodPut, "/admin/v1/changes/x", "[[team]]\nnom = \"celje\"\n")
	is.Equal(status, http.StatusUnprocessableEntity)
	is.Equal(e.Problems[0].Line, 2)
}

// Guards against the loss of all other documents in the first change after the key-value service
// lost its data. An operator sets a label through an entry that still has revision 1; the team and
// the operators must be kept.
func TestLostDataIsRestoredByTheNextChange(t *testing.T) {
	is := is.New(t)
	s := newSystem()
	s.bootstrap(t)
	s.stale = s.GetLoaded()
	s.values = map[string]store.Value{}
	status, e, _ := s.call(t, "ana-token", http.MethodPost, "/admin/v1/labels", `{"change-id":"l1","kind":"team","name":"kranj","set":{"tier":"large"}}`)
	is.Equal(status, http.StatusOK)
	s.stale = nil
	is.True(e.Revision > 1)
	is.Equal(s.Snapshot().Revision, e.Revision)
	is.Equal(len(s.Snapshot().Set.Operators), 2)
	is.Equal(s.Snapshot().GetTeamByName("kranj").Labels["tier"], "large")
}

// Guards against a change by a removed operator through an entry that has not received the removal
// yet and still accepts the operator's token.
func TestRemovedOperatorIsRefusedByAStaleEntry(t *testing.T) {
	is := is.New(t)
	s := newSystem()
	s.bootstrap(t)
	beforeRemoval := s.GetLoaded()
	second := strings.Replace(firstText(), config.DigestToken("ana-token"), config.DigestToken("new-token"), 1)
	status, _, _ := s.call(t, "ana-token", http.MethodPut, "/admin/v1/changes/second", second)
	is.Equal(status, http.StatusOK)
	s.stale = beforeRemoval
	status, e, _ := s.call(t, "ana-token", http.MethodPut, "/admin/v1/changes/third", firstText())
	is.Equal(status, http.StatusForbidden)
	is.Equal(e.Code, codes.Forbidden)
}

func TestLargeAnswersAreTruncated(t *testing.T) {
	is := is.New(t)
	s := newSystem()
	s.bootstrap(t)
	var body strings.Builder
	for i := range 1000 {
		fmt.Fprintf(&body, "[[team]]\nname = \"t%d\"\ntoken-sha256 = [%q]\npriority = \"normal\"\nweight = 1.0\n", i, config.DigestToken(fmt.Sprint(i)))
	}
	status, e, _ := s.call(t, "ana-token", http.MethodPut, "/admin/v1/changes/x?dry-run", body.String())
	is.Equal(status, http.StatusOK)
	is.Equal(len(e.Changes), admapi.MaxChanges)
	is.Equal(e.ChangesOmitted, 4*1000-admapi.MaxChanges)
}

func TestChangeWithoutDocumentsIsInvalid(t *testing.T) {
	is := is.New(t)
	s := newSystem()
	s.bootstrap(t)
	status, e, _ := s.call(t, "ana-token", http.MethodPut, "/admin/v1/changes/x", "# nothing\n")
	is.Equal(status, http.StatusUnprocessableEntity)
	is.Equal(len(e.Problems), 1)
}

func TestDryRunThenConflict(t *testing.T) {
	is := is.New(t)
	s := newSystem()
	s.bootstrap(t)
	heavier := strings.Replace(firstText(), "weight = 1.0", "weight = 2.0", 1)
	status, _, text := s.call(t, "ana-token", http.MethodPut, "/admin/v1/changes/x?dry-run", heavier)
	is.Equal(status, http.StatusOK)
	is.True(strings.Contains(text, `"verdict":"checked"`))
	is.Equal(s.Snapshot().Revision, uint64(1))
	status, _, _ = s.call(t, "ana-token", http.MethodPut, "/admin/v1/changes/x?base=1", heavier)
	is.Equal(status, http.StatusOK)
	status, e, _ := s.call(t, "ana-token", http.MethodPut, "/admin/v1/changes/y?base=1", firstText())
	is.Equal(status, http.StatusConflict)
	is.Equal(e.Revision, uint64(2))
	is.Equal(e.Changes[0].Field, "weight")
}

// The key-value service stores a change and then stops responding, so the answer is "unknown" with
// a Retry-After. After the outage, a retry with the same change id and a query both report that the
// change was accepted.
func TestUnknownChangeIsReportedAfterTheOutage(t *testing.T) {
	is := is.New(t)
	s := newSystem()
	s.bootstrap(t)
	s.loseAnswers = true
	heavier := strings.Replace(firstText(), "weight = 1.0", "weight = 2.0", 1)
	status, e, _ := s.call(t, "ana-token", http.MethodPut, "/admin/v1/changes/x", heavier)
	is.Equal(status, http.StatusServiceUnavailable)
	is.Equal(e.Code, codes.ChangeUnknown)
	is.Equal(e.Outcome, codes.OutcomeUnknown)
	is.True(e.RetryAfter > 0)
	_, e, _ = s.call(t, "ana-token", http.MethodGet, "/admin/v1/changes/x", "")
	is.Equal(e.Code, codes.ChangeUnknown)
	s.down = false
	status, e, _ = s.call(t, "ana-token", http.MethodPut, "/admin/v1/changes/x", heavier)
	is.Equal(status, http.StatusOK)
	is.Equal(e.Revision, uint64(2))
	status, _, _ = s.call(t, "ana-token", http.MethodGet, "/admin/v1/changes/x", "")
	is.Equal(status, http.StatusOK)
}

func TestLabels(t *testing.T) {
	is := is.New(t)
	s := newSystem()
	s.bootstrap(t)
	body := `{"change-id":"l1","kind":"team","name":"kranj","set":{"tier":"workshop"}}`
	for range 2 {
		status, e, _ := s.call(t, "ana-token", http.MethodPost, "/admin/v1/labels", body)
		is.Equal(status, http.StatusOK)
		is.Equal(e.Revision, uint64(2))
	}
	is.Equal(s.Snapshot().GetTeamByName("kranj").Labels["tier"], "workshop")
	status, _, _ := s.call(t, "ana-token", http.MethodPost, "/admin/v1/labels", `{"change-id":"l2","kind":"team","name":"kranj","remove":["tier"]}`)
	is.Equal(status, http.StatusOK)
	is.Equal(len(s.Snapshot().GetTeamByName("kranj").Labels), 0)
	status, _, _ = s.call(t, "ana-token", http.MethodPost, "/admin/v1/labels", `{"change-id":"l3","kind":"team","name":"celje"}`)
	is.Equal(status, http.StatusUnprocessableEntity)
	status, _, _ = s.call(t, "ana-token", http.MethodPost, "/admin/v1/labels", `{"change-id":"l4","who":1}`)
	is.Equal(status, http.StatusBadRequest)
}
