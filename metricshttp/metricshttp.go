// Package metricshttp serves the metrics of a process over HTTP as plain text.
package metricshttp

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/gorilla/mux"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"birchlink.dev/birchlink/kernel"
)

// Name is the name of the service.
const Name = "figures"

// Path is the URL path of the metrics.
const Path = "/metrics"

// The limits of a connection. Requests have small headers and no body.
const (
	readTimeout    = 5 * time.Second
	writeTimeout   = 30 * time.Second
	idleTimeout    = 3 * time.Minute
	maxHeaderBytes = 4 << 10
)

// Server serves the metrics of a registry.
type Server struct {
	Address string

	registry metrics.Registry
	log      zerolog.Logger
	server   *http.Server
}

// New returns a server for the metrics of r. If address is empty, the server does not listen.
func New(address string, r metrics.Registry, log zerolog.Logger) *Server {
	return &Server{Address: address, registry: r, log: log}
}

// Name returns the service's name.
func (s *Server) Name() string { return Name }

// RegisterGauge registers a gauge whose value is read on each request for the metrics.
func (s *Server) RegisterGauge(name string, read func() int64) {
	// The only error is a duplicate name; the first gauge stays registered. Package daemon
	// registers each name once.
	_ = s.registry.Register(name, metrics.NewFunctionalGauge(read))
}

// Start listens and serves. A failure to listen is logged and not returned.
func (s *Server) Start(context.Context, *kernel.Kernel) error {
	if s.Address == "" {
		return nil
	}
	l, err := net.Listen("tcp", s.Address)
	if err != nil {
		// The box serves requests even if its metrics are unavailable.
		s.log.Error().Str("event", "listen").Str("address", s.Address).Err(err).Msg("metrics are not served")
		return nil
	}
	s.server = s.newServer()
	go func() {
		if err := s.server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			s.log.Error().Str("event", "listen").Str("address", s.Address).Err(err).Msg("metrics are no longer served")
		}
	}()
	return nil
}

func (s *Server) newServer() *http.Server {
	r := mux.NewRouter()
	r.HandleFunc(Path, s.serve).Methods(http.MethodGet)
	return &http.Server{Handler: r, ReadTimeout: readTimeout, WriteTimeout: writeTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes}
}

// Stop closes the listener and all connections.
func (s *Server) Stop(context.Context) error {
	if s.server == nil {
		return nil
	}
	return s.server.Close()
}

func (s *Server) serve(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	metrics.WriteOnce(s.registry, w)
}
