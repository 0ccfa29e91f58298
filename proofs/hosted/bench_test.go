package hosted_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"verbenaroad.example/fakes/services/hosted"
)

// BenchmarkFirstEvent measures the time until the first event of a stream without stages, for an
// engine called directly and for the same engine behind an ingress. The difference is what the
// ingress adds.
func BenchmarkFirstEvent(b *testing.B) {
	w, err := hosted.NewWorld(1)
	if err != nil {
		b.Fatal(err)
	}
	defer w.Close()
	w.PutConfig(routes(), services(), tenants())
	engine, err := w.Add(&hosted.Server{Service: "models", Zone: "a1", Events: 1})
	if err != nil {
		b.Fatal(err)
	}
	i := newIngress(b, w, "ingress", "a1", 0)
	for !i.isReady() {
		time.Sleep(pollInterval)
	}
	for _, c := range []struct {
		name    string
		address string
	}{{"direct", engine.Address().String()}, {"ingress", i.callerAddress.String()}} {
		b.Run(c.name, func(b *testing.B) {
			for n := range b.N {
				readFirstEvent(b, c.address, fmt.Sprintf("%016x", n))
			}
		})
	}
}

func readFirstEvent(b *testing.B, address, id string) {
	b.Helper()
	r, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+address+"/advice/1", strings.NewReader("x"))
	if err != nil {
		b.Fatal(err)
	}
	r.Host = host
	r.Header.Set("X-Verbenaroad-Attempt-Id", id)
	r.Header.Set("X-Verbenaroad-Deadline-Ms", "8000")
	r.Header.Set("X-Verbenaroad-Key", "key-1")
	got, err := http.DefaultClient.Do(r)
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = got.Body.Close() }()
	line, err := bufio.NewReader(got.Body).ReadString('\n')
	if err != nil && !errors.Is(err, io.EOF) {
		b.Fatal(err)
	}
	if !strings.HasPrefix(line, "id: 1") {
		b.Fatalf("status %d: %q", got.StatusCode, line)
	}
}
