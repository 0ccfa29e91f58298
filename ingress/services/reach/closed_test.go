package reach_test

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenaroad.example/ingress/services/reach"
	"verbenaroad.example/platform/heads"
	"verbenaroad.example/share/models/site"
)

// allClosed closes all servers.
type allClosed struct{ noRates }

func (allClosed) MaySend(site.Server, string) bool { return false }

// Guards against a path of requests that does not ask whether its server takes any: requests of callers,
// calls to pools and releases of results. A request that was not sent must not count as run.
func TestNothingIsSentToAClosedServer(t *testing.T) {
	s := newServer(t)
	server := site.Server{ID: "a", Address: s.address()}
	c := reach.NewClient(heads.Codec{}, allClosed{})
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	newPost := func() *http.Request {
		r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.address().String()+"/", strings.NewReader("x"))
		if err != nil {
			t.Fatal(err)
		}
		return r
	}
	for name, send := range map[string]func() error{
		"request": func() error {
			_, err := c.Send(ctx, reach.Request{Method: http.MethodPost, Target: "/", Header: http.Header{}, Server: server})
			return err
		},
		"call": func() error {
			_, _, err := c.Do(server, newPost())
			return err
		},
		"idempotent call": func() error {
			_, _, err := c.DoIdempotent(server, newPost())
			return err
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			err := send()
			is.True(errors.Is(err, reach.ErrNotSent))
			is.True(errors.Is(err, reach.ErrClosed))
			is.Equal(len(s.accepted), 0)
		})
	}
}
