// Package figures serves a process's metrics as text.
package figures

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

// Path is where the metrics are served.
const Path = "/metrics"

// headerLimit bounds how long a reader may take to ask.
const headerLimit = 5 * time.Second

// Figures is the service of one box.
type Figures struct {
	Address string

	registry metrics.Registry
	log      zerolog.Logger
	server   *http.Server
}

// New returns the service. Without an address it serves nobody.
func New(address string, r metrics.Registry, log zerolog.Logger) *Figures {
	return &Figures{Address: address, registry: r, log: log}
}

// Name returns the service's name.
func (f *Figures) Name() string { return Name }

// Gauge enters a figure that is read when it is asked for.
func (f *Figures) Gauge(name string, read func() int64) {
	// A name that is taken keeps its first figure: names are given once, in daemon.
	_ = f.registry.Register(name, metrics.NewFunctionalGauge(read))
}

// Start listens. An address that cannot be had is logged, and costs no more than
// the metrics.
func (f *Figures) Start(context.Context, *kernel.Kernel) error {
	if f.Address == "" {
		return nil
	}
	l, err := net.Listen("tcp", f.Address)
	if err != nil {
		// Callers are served without metrics rather than not at all.
		f.log.Error().Str("event", "listen").Str("address", f.Address).Err(err).Msg("metrics are not served")
		return nil
	}
	r := mux.NewRouter()
	r.HandleFunc(Path, f.serve).Methods(http.MethodGet)
	f.server = &http.Server{Handler: r, ReadHeaderTimeout: headerLimit}
	go func() {
		if err := f.server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			f.log.Error().Str("event", "listen").Str("address", f.Address).Err(err).Msg("metrics are no longer served")
		}
	}()
	return nil
}

// Stop ends the listening.
func (f *Figures) Stop(context.Context) error {
	if f.server == nil {
		return nil
	}
	return f.server.Close()
}

func (f *Figures) serve(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	metrics.WriteOnce(f.registry, w)
}
