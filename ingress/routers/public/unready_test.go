package public_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"verbenaroad.example/ingress/routers/public"
	"verbenaroad.example/ingress/services/state"
	"verbenaroad.example/share/models/site"
)

// starting stands for all that a starting ingress asks: it knows nothing yet.
type starting struct{ silence time.Duration }

func (s starting) OwnSilence() time.Duration { return s.silence }
func (starting) IsAlone() bool               { return true }
func (starting) View() *state.View           { return &state.View{} }

func (starting) AdmitWork(string) bool                      { return true }
func (starting) AdmitLastResort(string, time.Duration) bool { return false }
func (starting) EndWork(string)                             {}
func (starting) IsLeaving() bool                            { return false }

func (starting) ReadRequest(http.Header) site.Request { return site.Request{AttemptID: "a"} }
func (starting) StripRequest(http.Header)             {}
func (starting) WriteRefusal(http.Header, string)     {}

// All ingresses lose power while the store is silent, and start before it is back. Callers
// are refused at once, since nothing is known; those that come back in half a second
// are refused again and have no further try. They must be told to come back when an
// outage may be over, and soon where the store answers and only the first listing is awaited.
func TestStartingIngressTellsWhenToComeBack(t *testing.T) {
	for silence, want := range map[time.Duration]string{
		50 * time.Millisecond: "0.50", 3 * time.Second: "2.00",
	} {
		t.Run(silence.String(), func(t *testing.T) {
			is := is.New(t)
			s := starting{silence: silence}
			router := public.NewRouter(public.Options{
				Peers: s, Store: s, Codec: s, Views: s, Doorman: s, Log: zap.NewNop(),
			})
			w := httptest.NewRecorder()
			router.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/order/1", nil))
			is.Equal(w.Code, http.StatusServiceUnavailable)
			is.Equal(w.Header().Get("Retry-After"), want)
		})
	}
}
