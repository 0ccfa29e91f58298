package weight_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenaroad.example/fakes/services/weight"
)

func TestRateLimitsDownloads(t *testing.T) {
	is := is.New(t)
	store := weight.NewStore(weight.Options{Bytes: 1 << 20, Rate: 10 << 20})
	answer := httptest.NewRecorder()
	begin := time.Now()
	store.NewRouter().ServeHTTP(answer, httptest.NewRequest(http.MethodGet, "/weights/model/1", nil))
	is.Equal(answer.Body.Len(), 1<<20)
	is.True(time.Since(begin) >= 80*time.Millisecond) // 100 ms minus the burst; a slow machine only takes longer
}
