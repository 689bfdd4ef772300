// Package ingress takes callers' requests, checks them against the
// configuration, and answers them.
package ingress

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"birchlink.dev/birchlink/boottime"
	"birchlink.dev/birchlink/call"
	"birchlink.dev/birchlink/forward"
	"birchlink.dev/birchlink/kernel"
	"birchlink.dev/birchlink/known"
	"birchlink.dev/birchlink/quota"
	"birchlink.dev/birchlink/session"
	"birchlink.dev/birchlink/wait"
)

// Name is the name of the service.
const Name = "ingress"

// The bounds towards callers. The configuration has its own, which are not
// wider than these; a connection that idles is kept longer than any of them.
const (
	headerLimit  = 10 * time.Second
	idleLimit    = 3 * time.Minute
	maxHeaders   = 64 << 10
	bodyLimit    = 20 * time.Second
	writeLimit   = 5 * time.Second
	maxBodyBytes = 16 << 20
)

// Codec translates between HTTP and calls.
type Codec interface {
	Decode(r *http.Request, arrived time.Time) (*call.Call, error)
	Answer(h http.Header) http.Header
	Own(h http.Header, c *call.Call)
}

// Limits lets requests in by their accounts' rates. The answer's arbiter is the box
// that gave it, if any did.
type Limits interface {
	Take(c context.Context, x quota.Question) (quota.Answer, quota.Arbiter)
}

// Options sets the ingress up. Notice is how long a box that stops still takes
// connections, until the balancer has seen that it is not ready; Limit is how
// long the stop may take in all.
type Options struct {
	Address   string
	Ready     string
	ReadyPath string
	Notice    time.Duration
	Limit     time.Duration
}

// Ingress is the service of one box.
type Ingress struct {
	Options
	Codec  Codec
	Limits Limits

	forwarder *forward.Forwarder
	known     *known.Service
	session   *session.Session
	metrics   metrics.Registry
	log       zerolog.Logger

	server  *http.Server
	probe   *http.Server
	callers net.Listener
	asked   net.Listener
	leaving atomic.Bool
	live    atomic.Int64
	end     context.Context
	endAll  context.CancelCauseFunc
}

// New returns the ingress of a box.
func New(o Options, codec Codec, f *forward.Forwarder, l Limits, m metrics.Registry, log zerolog.Logger) *Ingress {
	i := &Ingress{Options: o, Codec: codec, Limits: l, forwarder: f, metrics: m, log: log}
	i.end, i.endAll = context.WithCancelCause(context.Background())
	return i
}

// Name returns the service's name.
func (i *Ingress) Name() string { return Name }

// Start listens for callers and for the balancer's check.
func (i *Ingress) Start(_ context.Context, k *kernel.Kernel) error {
	err := errors.Join(kernel.Bind(k, known.Name, &i.known), kernel.Bind(k, session.Name, &i.session))
	if err != nil {
		return err
	}
	i.server = &http.Server{
		Handler: http.HandlerFunc(i.serve), ReadHeaderTimeout: headerLimit, IdleTimeout: idleLimit, MaxHeaderBytes: maxHeaders,
		ErrorLog: nil,
	}
	r := mux.NewRouter()
	r.HandleFunc(i.ReadyPath, i.ready)
	i.probe = &http.Server{Handler: r, ReadHeaderTimeout: headerLimit}
	if i.callers, err = i.listen(i.server, i.Address); err != nil {
		return err
	}
	i.asked, err = i.listen(i.probe, i.Ready)
	return err
}

func (i *Ingress) listen(s *http.Server, address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	go func() {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			i.log.Error().Str("event", "listen").Str("address", address).Err(err).Msg("no longer served")
		}
	}()
	return l, nil
}

// Listening returns where callers are served and where the balancer asks, once
// the ingress has started.
func (i *Ingress) Listening() (callers, ready string) {
	return i.callers.Addr().String(), i.asked.Addr().String()
}

func (i *Ingress) ready(w http.ResponseWriter, _ *http.Request) {
	switch {
	case i.leaving.Load():
		http.Error(w, "this box stops", http.StatusServiceUnavailable)
	case !i.known.Ready():
		http.Error(w, "no configuration yet", http.StatusServiceUnavailable)
	default:
		w.WriteHeader(http.StatusOK)
	}
}

// Stop makes the box unready, serves what comes until the balancer has seen
// that, and lets every request end. What has not ended at the limit is ended.
func (i *Ingress) Stop(c context.Context) error {
	i.leaving.Store(true)
	began := boottime.Now()
	i.log.Info().Str("event", "stop").Int64("requests", i.live.Load()).Msg("not ready; serving what comes")
	wait.For(c, i.Notice)
	x, cancel := context.WithTimeout(c, i.Limit-boottime.Since(began))
	defer cancel()
	err := i.server.Shutdown(x)
	if err != nil {
		i.log.Warn().Str("event", "stop").Int64("requests", i.live.Load()).Msg("the limit of the stop is reached")
		i.endAll(errStopped)
		y, stop := context.WithTimeout(context.WithoutCancel(c), writeLimit/10)
		defer stop()
		err = i.server.Shutdown(y)
	}
	return errors.Join(err, i.probe.Close())
}

// Leaving reports whether the box stops.
func (i *Ingress) Leaving() bool { return i.leaving.Load() }

// Live returns how many requests are under way.
func (i *Ingress) Live() int { return int(i.live.Load()) }

var errStopped = errors.New("this process stops")
