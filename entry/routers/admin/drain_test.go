package admin_test

import (
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"verbenaroad.example/entry/routers/admin"
	"verbenaroad.example/entry/services/change"
	"verbenaroad.example/share/models/config"
	"verbenaroad.example/share/models/member"
	"verbenaroad.example/share/modules/codes"
	"verbenaroad.example/share/services/store"
)

// instances is a fake of the last instance list of an entry.
type instances []member.Instance

func (i instances) FindInstances() []member.Instance { return i }

func newDrainSystem(t *testing.T, known instances) *system {
	t.Helper()
	s := newSystem()
	changes := change.NewService(store.NewWriter(s, s.reader), s)
	s.router = admin.NewRouter(admin.Options{
		Changes:         changes,
		Drains:          change.NewDrainService(changes, known),
		Snapshots:       s,
		BootstrapSHA256: config.DigestToken("bootstrap-token"),
	})
	s.bootstrap(t)
	return s
}

func twoAgentsAndOneEntry() instances {
	return instances{
		{Name: "llm-1", Role: member.RoleAgent, Service: "llm"},
		{Name: "llm-2", Role: member.RoleAgent, Service: "llm"},
		{Name: "entry-1", Role: member.RoleEntry},
	}
}

// Guards against a drain that ends when a process restarts. An operator drains an engine before its
// host is replaced, and no process may send work to the engine until the drain is undone.
func TestDrainIsADocumentOfTheConfiguration(t *testing.T) {
	is := is.New(t)
	s := newDrainSystem(t, twoAgentsAndOneEntry())
	status, _, text := s.call(t, "ana-token", http.MethodPost, "/admin/v1/drains/llm-1", `{"change-id":"d1"}`)
	is.Equal(status, http.StatusOK)
	is.True(strings.Contains(text, `"verdict":"accepted"`))
	is.True(change.IsDrained(s.Snapshot(), "llm-1"))
	status, e, _ := s.call(t, "ana-token", http.MethodPost, "/admin/v1/drains/llm-1", `{"change-id":"d1"}`)
	is.Equal(status, http.StatusOK) // a retry with the same change id
	is.Equal(e.Revision, uint64(2))
	status, _, _ = s.call(t, "ana-token", http.MethodPost, "/admin/v1/drains/llm-1", `{"change-id":"d2","undo":true}`)
	is.Equal(status, http.StatusOK)
	is.True(!change.IsDrained(s.Snapshot(), "llm-1"))
}

func TestDrainRefusals(t *testing.T) {
	tests := []struct {
		name, instance, body string
		known                instances
		code                 codes.Code
	}{
		{"unknown name", "llm-7", `{"change-id":"d"}`, twoAgentsAndOneEntry(), codes.ConfigInvalid},
		{"an entry", "entry-1", `{"change-id":"d"}`, twoAgentsAndOneEntry(), codes.ConfigInvalid},
		{"last of its service", "llm-1", `{"change-id":"d"}`, twoAgentsAndOneEntry()[:1], codes.ConfigInvalid},
		{"last of its service with force", "llm-1", `{"change-id":"d","force":true}`, twoAgentsAndOneEntry()[:1], codes.OK},
		{"no change id", "llm-1", `{}`, twoAgentsAndOneEntry(), codes.BadRequest},
		{"unknown field", "llm-1", `{"change-id":"d","when":"now"}`, twoAgentsAndOneEntry(), codes.BadRequest},
		{"undo without a drain", "llm-1", `{"change-id":"d","undo":true}`, twoAgentsAndOneEntry(), codes.ConfigInvalid},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			s := newDrainSystem(t, tt.known)
			_, e, _ := s.call(t, "ana-token", http.MethodPost, "/admin/v1/drains/"+tt.instance, tt.body)
			is.Equal(e.Code, tt.code)
		})
	}
}

func TestDrainOfTheLastAgentIsRefused(t *testing.T) {
	is := is.New(t)
	s := newDrainSystem(t, twoAgentsAndOneEntry())
	status, _, _ := s.call(t, "ana-token", http.MethodPost, "/admin/v1/drains/llm-1", `{"change-id":"d1"}`)
	is.Equal(status, http.StatusOK)
	_, e, _ := s.call(t, "ana-token", http.MethodPost, "/admin/v1/drains/llm-2", `{"change-id":"d2"}`)
	is.Equal(e.Code, codes.ConfigInvalid)
	is.True(strings.Contains(e.Problems[0].Detail, "last agent"))
}
