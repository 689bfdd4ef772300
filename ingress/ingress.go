// Package ingress serves the requests of callers over HTTP. It resolves the route, account and
// service of a request from the configuration, applies the account's rate limit, has package
// forward send the request to an endpoint, and writes the response. It also serves the load
// balancer's readiness check.
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

	"birchlink.dev/birchlink/bodyroom"
	"birchlink.dev/birchlink/boottime"
	"birchlink.dev/birchlink/call"
	"birchlink.dev/birchlink/fleetstate"
	"birchlink.dev/birchlink/forward"
	"birchlink.dev/birchlink/kernel"
	"birchlink.dev/birchlink/membudget"
	"birchlink.dev/birchlink/origin"
	"birchlink.dev/birchlink/quota"
	"birchlink.dev/birchlink/storesession"
	"birchlink.dev/birchlink/wait"
)

// Name is the name under which the service is registered in the kernel.
const Name = "ingress"

// The limits that protect the server from slow callers. The limits in the configuration do not
// exceed these. idleTimeout is longer than any other timeout, here or in the configuration.
const (
	headerTimeout  = 10 * time.Second
	idleTimeout    = 3 * time.Minute
	maxHeaderBytes = 64 << 10
	bodyTimeout    = 20 * time.Second
	writeTimeout   = 5 * time.Second
	maxBodyBytes   = 16 << 20

	maxReadyHeaderBytes = 4 << 10
)

// Codec translates between the platform's HTTP headers and calls.
type Codec interface {
	// Decode returns the call that a request makes. On an error it returns the part of the call that
	// it could decode, or nil.
	Decode(r *http.Request, arrived time.Time) (*call.Call, error)
	// ResponseHeader returns the header of the caller's response, given that of the endpoint's.
	ResponseHeader(h http.Header) http.Header
	// SetErrorHeader completes the header of a response to c that this box generates itself. The call
	// is nil if the request could not be decoded.
	SetErrorHeader(h http.Header, c *call.Call)
}

// RateLimiter decides whether requests are within the rates of their accounts. Take also returns
// the box that decided, which is the zero Arbiter if none could be reached.
type RateLimiter interface {
	Take(c context.Context, x quota.Question) (quota.Answer, quota.Arbiter)
}

// Origins finds out at which software version a stream began that a caller takes up again. The stream is named by the ID of
// the request that brought its first event, or empty if the caller did not name it.
type Origins interface {
	Find(c context.Context, request, stream, service, account string) origin.Finding
}

// Options configures an Ingress. A box that stops keeps accepting connections for ShutdownDelay, so
// that the load balancer can notice that the box is not ready. ShutdownTimeout bounds the entire
// shutdown, including the delay.
type Options struct {
	Address         string
	ReadyAddress    string
	ReadyPath       string
	ShutdownDelay   time.Duration
	ShutdownTimeout time.Duration
}

// Ingress serves callers on behalf of one box.
type Ingress struct {
	Options
	Codec   Codec
	Limiter RateLimiter
	Origins Origins

	forwarder *forward.Forwarder
	state     *fleetstate.Service
	session   *storesession.Session
	metrics   metrics.Registry
	log       zerolog.Logger

	server         *http.Server
	readyServer    *http.Server
	listener       net.Listener
	readyListener  net.Listener
	stopping       atomic.Bool
	stopBegan      atomic.Pointer[time.Time] // nil until the box stops
	inFlight       atomic.Int64
	reading        atomic.Int64     // requests whose bodies are being read
	heads          membudget.Budget // held heads of requests
	bodies         *bodyroom.Room
	closing        context.Context
	cancelRequests context.CancelCauseFunc
	started        time.Time       // when callers were first accepted
	running        context.Context // until the box stops
	endRunning     context.CancelFunc
}

// New returns an Ingress.
func New(o Options, codec Codec, f *forward.Forwarder, l RateLimiter, s Origins, m metrics.Registry, log zerolog.Logger) *Ingress {
	i := &Ingress{Options: o, Codec: codec, Limiter: l, Origins: s, forwarder: f, metrics: m, log: log}
	i.heads.Total, i.bodies = maxHeldHeadBytes, bodyroom.New(maxHeldBytes, reservedBytes)
	i.closing, i.cancelRequests = context.WithCancelCause(context.Background())
	i.running, i.endRunning = context.WithCancel(context.Background())
	return i
}

// Name returns the service's name.
func (i *Ingress) Name() string { return Name }

// Start begins to accept requests and readiness checks.
func (i *Ingress) Start(_ context.Context, k *kernel.Kernel) error {
	err := errors.Join(kernel.Bind(k, fleetstate.Name, &i.state), kernel.Bind(k, storesession.Name, &i.session))
	if err != nil {
		return err
	}
	i.setServers()
	i.started = boottime.Now()
	if i.listener, err = i.listen(i.server, i.Address); err != nil {
		return err
	}
	i.readyListener, err = i.listen(i.readyServer, i.ReadyAddress)
	return err
}

// setServers sets the servers of callers and of readiness checks.
func (i *Ingress) setServers() {
	i.server = &http.Server{
		Handler: http.HandlerFunc(i.serve), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: nil, ConnContext: connContext,
		ConnState: func(c net.Conn, s http.ConnState) {
			if h, ok := c.(*headConn); ok {
				h.setState(s)
			}
		},
	}
	r := mux.NewRouter()
	r.HandleFunc(i.ReadyPath, i.serveReady)
	i.readyServer = &http.Server{
		Handler: r, ReadTimeout: headerTimeout, WriteTimeout: writeTimeout + headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxReadyHeaderBytes,
	}
}

func (i *Ingress) listen(s *http.Server, address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	if s == i.server {
		l = headListener{l.(*net.TCPListener), &i.heads, i.refuseHead, i.logRejected}
	}
	go func() {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			i.log.Error().Str("event", "listen").Str("address", address).Err(err).Msg("HTTP server failed")
		}
	}()
	return l, nil
}

// Addrs returns the addresses on which requests and readiness checks are served. It must be called
// after Start.
func (i *Ingress) Addrs() (callers, ready string) {
	return i.listener.Addr().String(), i.readyListener.Addr().String()
}

func (i *Ingress) serveReady(w http.ResponseWriter, _ *http.Request) {
	switch {
	case i.stopping.Load():
		http.Error(w, "this box stops", http.StatusServiceUnavailable)
	case !i.state.Ready():
		http.Error(w, "no configuration yet", http.StatusServiceUnavailable)
	default:
		w.WriteHeader(http.StatusOK)
	}
}

// Stop shuts the server down. It first fails the readiness check and keeps accepting requests for
// ShutdownDelay, then waits for the requests in progress. Requests that are still in progress when
// ShutdownTimeout expires are cancelled.
func (i *Ingress) Stop(c context.Context) error {
	i.stopping.Store(true)
	i.endRunning()
	began := boottime.Now()
	i.stopBegan.Store(&began)
	i.forwarder.Shutdown.Begin(began, i.ShutdownDelay, i.ShutdownTimeout)
	i.logStop("shutting down: not ready, still accepting requests")
	wait.For(c, i.ShutdownDelay)
	i.logStop("accepting no more connections")
	x, cancel := context.WithTimeout(c, i.ShutdownTimeout-boottime.Since(began))
	defer cancel()
	err := i.server.Shutdown(x)
	if err != nil {
		i.logStop("shutdown timeout expired")
		i.cancelRequests(errStopped)
		y, stop := context.WithTimeout(context.WithoutCancel(c), writeTimeout/10)
		defer stop()
		err = i.server.Shutdown(y)
	}
	return errors.Join(err, i.readyServer.Close())
}

// logStop logs a step of the shutdown, and the requests in progress by what they wait for.
func (i *Ingress) logStop(step string) {
	i.log.Info().Str("event", "stop").Int64("requests", i.inFlight.Load()).Int64("reading_body", i.reading.Load()).
		Int("at_endpoints", i.forwarder.CountAttempts()).Msg(step)
}

// Stopping reports whether Stop has been called.
func (i *Ingress) Stopping() bool { return i.stopping.Load() }

// InFlight returns the number of requests in progress.
func (i *Ingress) InFlight() int { return int(i.inFlight.Load()) }

// errStopped cancels the requests that are in progress when the shutdown timeout expires.
var errStopped = errors.New("the process is shutting down")
