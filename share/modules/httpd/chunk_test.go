package httpd_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"testing"

	"github.com/matryer/is"

	"verbenaroad.example/share/modules/httpd"
)

// Guards against bytes of one caller's answer in another's when several callers read long streamed
// answers at the same time: nbhttp returned a buffer to its pool while it still wrote to it.
func TestConcurrentAnswersDoNotMix(t *testing.T) {
	for _, header := range [][2]string{
		{"Transfer-Encoding", "chunked"},
		{"Content-Length", strconv.Itoa(writes * writeSize)},
		{"X-Length", "unsaid"},
	} {
		t.Run(header[0], func(t *testing.T) { readConcurrently(t, header) })
	}
}

const readers, rounds, writes, writeSize = 8, 3, 12, 100 << 10

func readConcurrently(t *testing.T, header [2]string) {
	t.Helper()
	s, err := httpd.NewServer(httpd.Options{
		Address:     netip.MustParseAddrPort("127.0.0.1:0"),
		WriteBuffer: 64 << 20,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(header[0], header[1])
			w.WriteHeader(http.StatusOK)
			for range writes {
				_, _ = w.Write(bytes.Repeat([]byte(r.URL.Path[1:]), writeSize))
				if header[1] == "chunked" {
					w.(http.Flusher).Flush()
				}
			}
		}),
	})
	is.New(t).NoErr(err)
	defer func() { _ = s.Shutdown(context.Background()) }()
	t.Run("readers", func(t *testing.T) {
		for i := range readers {
			t.Run(string(rune('a'+i)), func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				own := string(rune('a' + i))
				for range rounds {
					q, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+s.Address().String()+"/"+own, nil)
					is.NoErr(err)
					got, err := http.DefaultClient.Do(q)
					is.NoErr(err)
					body, err := io.ReadAll(got.Body)
					_ = got.Body.Close()
					is.NoErr(err)
					is.Equal(len(body), writes*writeSize)
					is.Equal(bytes.Count(body, []byte(own)), len(body))
				}
			})
		}
	})
}
