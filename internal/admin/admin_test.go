package admin

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"balsamfork/internal/telemetry"
)

func TestEndpoints(t *testing.T) {
	metrics := telemetry.NewMetrics("a-1")
	metrics.Scope.Counter("flows").Inc(3)
	is.New(t).NoErr(metrics.Close())
	serving := false
	readiness := func() (bool, string) { return serving, "no configuration yet" }
	withPprof := handler(Options{Metrics: metrics.Handler, Ready: readiness, Pprof: true})
	withoutPprof := handler(Options{Metrics: metrics.Handler, Ready: readiness})

	cases := []struct {
		handler http.Handler
		ready   bool
		path    string
		status  int
		body    string
	}{
		{withoutPprof, false, "/livez", http.StatusOK, "alive"},
		{withoutPprof, false, "/readyz", http.StatusServiceUnavailable, "no configuration yet"},
		{withoutPprof, true, "/readyz", http.StatusOK, "ready"},
		{withoutPprof, true, "/metrics", http.StatusOK, `balsamfork_flows{instance="a-1"} 3`},
		{withoutPprof, true, "/debug/pprof/", http.StatusNotFound, ""},
		{withPprof, true, "/debug/pprof/", http.StatusOK, "goroutine"},
	}
	for _, c := range cases {
		is := is.New(t)
		serving = c.ready
		w := httptest.NewRecorder()
		c.handler.ServeHTTP(w, httptest.NewRequest(http.MethodGet, c.path, nil))
		is.Equal(w.Code, c.status)
		if !strings.Contains(w.Body.String(), c.body) {
			t.Errorf("%s: %q not in %q", c.path, c.body, w.Body.String())
		}
	}
}
