package flow_test

import (
	"net/http"
	"net/netip"
	"testing"

	"github.com/matryer/is"

	"verbenaroad.example/share/models/site"
)

// newVersionedEngine returns an engine in the domain of the ingress, or in the other one if its ID is s.
func newVersionedEngine(id, version string) site.Server {
	domain, address := "n1", "10.0.0.8:1"
	if id == "s" {
		domain, address = "s1", "10.0.0.9:1"
	}
	engine := newEngine(id, domain, address)
	engine.Service, engine.Version = "engines", version
	return engine
}

// Guards against a stream that breaks off and goes on at an engine of another version, also if that is
// nearer, and against one that is not cut although no engine of its version is left.
func TestBrokenStreamGoesOnAtItsVersionOnly(t *testing.T) {
	for name, c := range map[string]struct {
		others []site.Server
		want   []string
		isCut  bool
	}{
		"another engine of its version": {[]site.Server{newVersionedEngine("o", "v2"), newVersionedEngine("s", "v1")}, []string{"n", "s"}, false},
		"no engine of its version":      {[]site.Server{newVersionedEngine("o", "v2")}, []string{"n"}, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			route := newRoute()
			route.Resumable = true
			s := &deployment{view: newView(1, route, append(c.others, newVersionedEngine("n", "v1"))...), breaksAt: "n"}
			s.avoid = "o" // the stream begins at n
			is.Equal(s.isCut(route), c.isCut)
			is.Equal(s.sentTo, c.want)
			// A retry counts from when it is sent, and not at all if no engine is left for it.
			is.Equal(s.retries, map[bool]countedRetries{false: {taken: 1, sent: 1}, true: {taken: 1, returned: 1}}[c.isCut])
		})
	}
}

// Guards against a stream being sent to the engine that was reserved for it before its results were
// produced, which has started again under its ID with another version meanwhile.
func TestReservedEngineOfAnotherVersionIsNotUsed(t *testing.T) {
	is := is.New(t)
	route := newRoute()
	route.Resumable = true
	before := newView(1, route, newVersionedEngine("n", "v1"), newVersionedEngine("m", "v1"), newVersionedEngine("s", "v1"))
	after := newView(1, route, newVersionedEngine("n", "v1"), newVersionedEngine("m", "v2"), newVersionedEngine("s", "v1"))
	// The stream breaks off at n, is placed at m, and its results are produced again meanwhile.
	s := &deployment{view: before, breaksAt: "n", avoid: "m", viewAfterSecondStages: after}
	is.Equal(s.isCut(route), false)
	is.Equal(s.sentTo, []string{"n", "s"})
}

// Guards against an engine being instructed to fetch what another software version has written.
func TestEngineDoesNotFetchFromAnotherVersion(t *testing.T) {
	is := is.New(t)
	route := newRoute()
	s := &deployment{view: newView(1, route, newVersionedEngine("n", "v1"), newVersionedEngine("s", "v2")), fetchFrom: "s"}
	is.Equal(s.serve(route).Code, http.StatusOK)
	is.Equal(s.sentTo, []string{"n"})
	is.Equal(s.fetchSources, []netip.AddrPort{{}})
}
