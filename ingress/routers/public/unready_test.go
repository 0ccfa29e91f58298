package public_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"verbenaroad.example/ingress/modules/memory"
	"verbenaroad.example/ingress/routers/public"
	"verbenaroad.example/ingress/services/state"
	"verbenaroad.example/share/models/site"
)

// starting is every dependency of the router in an ingress that has just started and has no
// configuration yet.
type starting struct{ silence time.Duration }

func (s starting) OwnSilence() time.Duration { return s.silence }
func (starting) IsAlone() bool               { return true }
func (starting) View() *state.View           { return &state.View{} }

func (starting) AdmitWork(string) bool                      { return true }
func (starting) AdmitLastResort(string, time.Duration) bool { return false }
func (starting) EndWork(string)                             {}
func (starting) IsLeaving() bool                            { return false }
func (starting) Sends() context.Context                     { return context.Background() }

func (starting) ReadRequest(http.Header) site.Request { return site.Request{AttemptID: "a"} }
func (starting) StripRequest(http.Header)             {}
func (starting) WriteRefusal(http.Header, string)     {}

// All ingresses restart during an outage of the store and refuse every request. A caller that retries
// after half a second is refused again and has no retry left. Retry-After must therefore be long
// during an outage, and short if the store answers and only the first listing is still missing.
func TestRetryAfterOfStartingIngress(t *testing.T) {
	for silence, want := range map[time.Duration]string{
		50 * time.Millisecond: "0.50", 3 * time.Second: "2.00",
	} {
		t.Run(silence.String(), func(t *testing.T) {
			is := is.New(t)
			s := starting{silence: silence}
			router := public.NewRouter(public.Options{
				Peers: s, StoreStatus: s, Codec: s, Views: s, Admission: s, Memory: memory.NewBudget(1 << 20), Log: zap.NewNop(),
			})
			w := httptest.NewRecorder()
			router.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/order/1", nil))
			is.Equal(w.Code, http.StatusServiceUnavailable)
			is.Equal(w.Header().Get("Retry-After"), want)
		})
	}
}
