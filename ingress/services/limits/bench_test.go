package limits_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"verbenaroad.example/share/decide/place"
	"verbenaroad.example/share/models/site"
)

// BenchmarkPlacement places requests at 790 engines, of which a number state a rate.
func BenchmarkPlacement(b *testing.B) {
	const engineCount = 790
	for _, limited := range []int{0, 1, 130, engineCount} {
		b.Run(fmt.Sprintf("limited=%d", limited), func(b *testing.B) {
			registry := newRegistryWith(0)
			engines := place.NewEngines(map[string]string{"a1": "a"})
			servers := []site.Server{}
			for i := range engineCount {
				servers = append(servers, site.Server{ID: fmt.Sprintf("i-%d", i), Domain: "a1"})
			}
			engines.SetLimiter(registry)
			engines.SetServers(servers, site.Engine{Slots: 128, CacheTokens: 260_000})
			for _, s := range servers[:limited] {
				registry.ObserveAnswer(s, newAnswer(http.StatusOK, true, site.RateLimit{State: site.RateLimited, PerSecond: 1}))
			}
			now := time.Now()
			q := place.Query{Domain: "a1", Region: "a", Generation: &place.Generation{
				Parts: []site.PromptPart{{ID: "document", Tokens: 50}}, PromptTokens: 100,
			}}
			b.ResetTimer()
			for range b.N {
				now = now.Add(400 * time.Microsecond)
				if p, found := engines.Place(now, q); found {
					engines.MarkSent(now, p.ID)
					engines.End(now, p.ID, place.ResultServed)
				}
			}
		})
	}
}
