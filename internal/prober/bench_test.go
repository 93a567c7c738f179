package prober

import (
	"log/slog"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/uber-go/tally/v4"

	"balsamfork/internal/health"
	"balsamfork/internal/peer"
)

type discardRegistry struct{}

func (discardRegistry) Handle(string, peer.Handler) {}

// BenchmarkProbe measures one probe and its answer over loopback, including the
// work of the endpoint.
func BenchmarkProbe(b *testing.B) {
	endpoint := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer endpoint.Close()
	p := New(Options{Self: "i1", Params: health.Default()}, nil, discardRegistry{}, slog.New(slog.DiscardHandler), tally.NoopScope)
	b.ReportAllocs()
	for b.Loop() {
		if err := p.sendProbe(b.Context(), endpoint.URL); err != nil {
			b.Fatal(err)
		}
	}
}
