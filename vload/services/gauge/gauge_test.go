package gauge_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"verbenaroad.example/vload/models/report"
	"verbenaroad.example/vload/models/scene"
	"verbenaroad.example/vload/services/gauge"
)

// servePage serves an expvar page with the text and returns its address.
func servePage(t *testing.T, text string) netip.AddrPort {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(text))
	}))
	t.Cleanup(server.Close)
	return netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
}

// readPages returns the pages of processes that serve the texts.
func readPages(t *testing.T, texts ...string) []gauge.Page {
	var addresses []netip.AddrPort
	for _, text := range texts {
		addresses = append(addresses, servePage(t, text))
	}
	return gauge.NewReader().ReadAll(t.Context(), addresses)
}

func TestRowsAreIncreasesSummedOverProcesses(t *testing.T) {
	is := is.New(t)
	before := readPages(t, `{"cost":{"encode":1},"retries":{"sent":2}}`, `{"cost":{"encode":10},"retries":{"sent":0}}`)
	after := readPages(t, `{"cost":{"encode":4,"generate":5},"retries":{"sent":3}}`, `{"cost":{"encode":11},"retries":{"sent":7}}`)
	keys := []scene.MetricKey{{Name: "cost", Path: "cost", Unit: "units"}, {Name: "retries", Path: "retries/sent", Unit: "requests", PerOffered: true}}
	is.Equal(gauge.Rows(keys, before, after, 16), []report.Row{
		{Class: "all", Metric: "cost/encode", Value: 4, Unit: "units"},
		{Class: "all", Metric: "cost/generate", Value: 5, Unit: "units"},
		{Class: "all", Metric: "retries", Value: 8, Unit: "requests"},
		{Class: "all", Metric: "retries-per-offered", Value: 0.5, Unit: "requests/request"},
	})
}

func TestMissingFiguresAreNotAvailable(t *testing.T) {
	keys := []scene.MetricKey{{Name: "retries", Path: "retries"}}
	tests := map[string]struct{ before, after []gauge.Page }{
		"no such key":    {readPages(t, `{}`), readPages(t, `{}`)},
		"one lacks it":   {readPages(t, `{"retries":1}`, `{}`), readPages(t, `{"retries":1}`, `{}`)},
		"one is down":    {readPages(t, `{"retries":1}`, `{"retries":1}`), []gauge.Page{readPages(t, `{"retries":1}`)[0], nil}},
		"no page at all": {nil, nil},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			rows := gauge.Rows(keys, test.before, test.after, 1)
			is.Equal(len(rows), 1)
			is.Equal(rows[0].Value.String(), "not-available")
		})
	}
}

func TestDelayedRead(t *testing.T) {
	is := is.New(t)
	r := gauge.NewReader()
	addresses := []netip.AddrPort{servePage(t, `{"retries":1}`)}
	is.Equal(gauge.StartDelayedRead(t.Context(), r, addresses, time.Millisecond).Pages()[0].Find("retries")[""], 1.0)
	is.Equal(gauge.StartDelayedRead(t.Context(), r, addresses, 0).Pages()[0].Find("retries")[""], 1.0)
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	is.Equal(len(gauge.StartDelayedRead(ctx, r, addresses, time.Hour).Pages()), 1)
}
