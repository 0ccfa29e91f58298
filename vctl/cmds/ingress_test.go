package cmds_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"verbenaroad.example/vctl/cmds"
)

const metricsPage = `# TYPE verbenaroad_config_version gauge
verbenaroad_config_version 14
# TYPE verbenaroad_store_age_seconds gauge
verbenaroad_store_age_seconds 4.7
# TYPE verbenaroad_request_seconds histogram
verbenaroad_request_seconds_bucket{outcome="answered",route="a",le="+Inf"} 7
verbenaroad_request_seconds_sum{outcome="answered",route="a"} 1.5
verbenaroad_request_seconds_count{outcome="answered",route="a"} 7
verbenaroad_request_seconds_bucket{outcome="overloaded",route="a",le="+Inf"} 2
verbenaroad_request_seconds_sum{outcome="overloaded",route="a"} 0.1
verbenaroad_request_seconds_count{outcome="overloaded",route="a"} 2
`

// One of several ingresses is cut off from the store and, with an older configuration, refuses a
// team's new key. The operator must see its configuration version and store age; an ingress that
// does not answer must not hide the others.
func TestIngressesAreCompared(t *testing.T) {
	is := is.New(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		is.Equal(r.URL.Path, "/metrics")
		_, _ = io.WriteString(w, metricsPage)
	}))
	defer server.Close()
	address := strings.TrimPrefix(server.URL, "http://")
	got := run(t, "ingress", address)
	is.Equal(got.code, cmds.ExitOK)
	fields := strings.Fields(strings.Split(got.out, "\n")[1])
	is.Equal(fields, []string{address, "14", "4.7s", "7", "overloaded=2", "0"})

	both := run(t, "ingress", address, "127.0.0.1:1")
	is.Equal(both.code, cmds.ExitRefused)
	is.True(strings.Contains(both.out, "refused"))
	is.True(strings.Contains(both.out, "overloaded=2"))
	is.Equal(run(t, "ingress").code, cmds.ExitUsage)
	is.Equal(run(t, "ingress", "kits.example:1").code, cmds.ExitUsage)
}
