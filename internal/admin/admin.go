// Package admin serves the metrics, readiness and liveness of an instance over HTTP,
// and the Go profiler if the settings enable it.
package admin

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/pprof"
	"net/netip"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of errors of the admin endpoint.
var Error = errs.Class("admin")

// readHeaderTimeout is the maximum time for reading a request header.
const readHeaderTimeout = 5 * time.Second

// Readiness reports whether the instance is ready to serve, and if not, the reason.
type Readiness func() (ready bool, reason string)

// Options configures the endpoint.
type Options struct {
	Listen  netip.AddrPort
	Metrics http.Handler
	Ready   Readiness
	// Pprof enables the profiler under /debug/pprof/.
	Pprof bool
}

// Server is the admin endpoint of one instance.
type Server struct {
	listener net.Listener
	server   *http.Server
	log      *slog.Logger
}

// Listen binds the listen address. A failure is of class Error.
func Listen(o Options, log *slog.Logger) (*Server, error) {
	listener, err := net.Listen("tcp", o.Listen.String())
	if err != nil {
		return nil, Error.Wrap(err)
	}
	server := &http.Server{Handler: handler(o), ReadHeaderTimeout: readHeaderTimeout}
	return &Server{listener: listener, server: server, log: log}, nil
}

// Addr returns the bound address.
func (s *Server) Addr() netip.AddrPort {
	return s.listener.Addr().(*net.TCPAddr).AddrPort()
}

// Start serves requests in the background until Close.
func (s *Server) Start() {
	go func() {
		err := s.server.Serve(s.listener)
		if !errors.Is(err, http.ErrServerClosed) {
			s.log.Error("The admin endpoint failed.", "error", err)
		}
	}()
}

// Close stops the endpoint and waits for requests in progress until the context
// ends.
func (s *Server) Close(ctx context.Context) error {
	return Error.Wrap(s.server.Shutdown(ctx))
}

// Abort closes the listener and all connections at once.
func (s *Server) Abort() {
	_ = s.listener.Close()
	_ = s.server.Close()
}

func handler(o Options) http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", o.Metrics)
	mux.HandleFunc("GET /livez", serveLiveness)
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) { serveReadiness(w, o.Ready) })
	if o.Pprof {
		mux.HandleFunc("/debug/pprof/", pprof.Index)
		mux.HandleFunc("/debug/pprof/cmdline", pprof.Cmdline)
		mux.HandleFunc("/debug/pprof/profile", pprof.Profile)
		mux.HandleFunc("/debug/pprof/symbol", pprof.Symbol)
		mux.HandleFunc("/debug/pprof/trace", pprof.Trace)
	}
	return mux
}

func serveLiveness(w http.ResponseWriter, _ *http.Request) {
	_, _ = io.WriteString(w, "alive\n")
}

func serveReadiness(w http.ResponseWriter, readiness Readiness) {
	ok, reason := readiness()
	if !ok {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ready\n")
}
