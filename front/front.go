// Package front serves Birchlink's HTTP API: chat completions in the format of OpenAI, and requests
// to plain services. It authenticates callers, checks the headers and limits of their requests and
// passes the requests to package dispatch.
package front

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/gorilla/mux"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"golang.org/x/sync/semaphore"

	"birchlink.dev/birchlink/bodyroom"
	"birchlink.dev/birchlink/boottime"
	"birchlink.dev/birchlink/config"
	"birchlink.dev/birchlink/configsync"
	"birchlink.dev/birchlink/dispatch"
	"birchlink.dev/birchlink/errkind"
	"birchlink.dev/birchlink/kernel"
	"birchlink.dev/birchlink/linger"
	"birchlink.dev/birchlink/serviceproxy"
	"birchlink.dev/birchlink/shutdown"
	"birchlink.dev/birchlink/stream"
)

// Name is the name under which the service is registered in the kernel.
const Name = "front"

// The limits that protect the server from slow or disconnected callers. maxHeldBytes limits the
// request bodies that are held at the same time, and reservedBytes is kept for small ones beside it.
const (
	headerTimeout   = 5 * time.Second
	bodyTimeout     = 15 * time.Second
	writeTimeout    = 15 * time.Second
	idleTimeout     = 2 * time.Minute
	handoverTimeout = 3 * time.Second
	drainTimeout    = 500 * time.Millisecond // for a part of a refused body before the answer
	lingerTimeout   = 5 * time.Second        // for more of it after the answer, as long as it comes
	cancelDelay     = time.Second            // between the handover of the streams and the end of the requests that are left
	maxHeaderBytes  = 32 << 10
	maxHeldBytes    = 56 << 20
	reservedBytes   = 8 << 20
)

// Options configures a Front. MaxBody is the maximum size of a request body in bytes, and MaxRequests
// the number of requests in progress at which further ones are refused. Stop keeps accepting requests
// for ShutdownDelay, so that the load balancer can notice that the box is not ready, and then waits
// for at most ShutdownTimeout until the requests in progress complete.
type Options struct {
	Address         string
	MaxBody         int
	MaxRequests     int
	ShutdownDelay   time.Duration
	ShutdownTimeout time.Duration
}

// Front is the API server of one box.
type Front struct {
	Options
	Log    zerolog.Logger
	Window *shutdown.Window // begins with Stop

	dispatcher     *dispatch.Dispatcher
	streams        *stream.Service
	proxy          *serviceproxy.Proxy
	follower       *configsync.Follower
	server         *http.Server
	listener       net.Listener
	requests       *semaphore.Weighted
	bodies         *bodyroom.Room
	stopping       atomic.Bool
	closing        context.Context
	cancelRequests context.CancelFunc
	isAlone        atomic.Bool // no other box could take the streams over
	metrics        metrics.Registry

	mu       sync.Mutex
	acceptBy time.Time   // when the box accepts no more requests; zero before Stop
	stopBy   time.Time   // when the remaining streams are handed over; zero before Stop
	accepted *time.Timer // ends ShutdownDelay
	timeout  *time.Timer // fires at stopBy
}

// New returns a Front.
func New(o Options, m metrics.Registry, log zerolog.Logger) *Front {
	f := &Front{
		Options: o, Log: log, Window: &shutdown.Window{}, metrics: m,
		requests: semaphore.NewWeighted(int64(o.MaxRequests)), bodies: bodyroom.New(maxHeldBytes, reservedBytes),
	}
	f.closing, f.cancelRequests = context.WithCancel(context.Background())
	return f
}

// Name returns the service's name.
func (f *Front) Name() string { return Name }

// Start begins to accept requests.
func (f *Front) Start(_ context.Context, k *kernel.Kernel) error {
	err := errors.Join(
		kernel.Bind(k, dispatch.Name, &f.dispatcher),
		kernel.Bind(k, stream.Name, &f.streams),
		kernel.Bind(k, serviceproxy.Name, &f.proxy),
		kernel.Bind(k, configsync.Name, &f.follower),
	)
	if err != nil {
		return err
	}
	l, err := net.Listen("tcp", f.Address)
	if err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	f.listener = linger.Listen(l.(*net.TCPListener))
	f.server = f.newServer()
	go func() {
		if err := f.server.Serve(f.listener); !errors.Is(err, http.ErrServerClosed) {
			f.Log.Error().Err(err).Msg("API server failed")
		}
	}()
	return nil
}

func (f *Front) newServer() *http.Server {
	r := f.routes()
	return &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
			if q.ContentLength != 0 {
				_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodyTimeout))
			}
			r.ServeHTTP(w, q)
		}),
		ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ConnContext: func(c context.Context, n net.Conn) context.Context { return context.WithValue(c, connKey{}, n) },
		ConnState: func(n net.Conn, s http.ConnState) {
			if l, ok := n.(*linger.Conn); ok && s == http.StateIdle {
				l.Linger(context.Background(), 0)
			}
		},
	}
}

// connKey is the key of the connection in a request's context.
type connKey struct{}

// refuseBody bounds how long what is left of a refused request's body is read: by net/http, which reads a part before it writes the answer,
// and then until the connection is closed.
func (f *Front) refuseBody(w http.ResponseWriter, r *http.Request, err error) {
	if r.ContentLength == 0 {
		return
	}
	if !errkind.Is(err, errkind.BodyTooSlow) { // the read deadline has passed
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(drainTimeout))
	}
	limit := lingerTimeout
	if f.stopping.Load() {
		limit = drainTimeout
	}
	if n, ok := r.Context().Value(connKey{}).(*linger.Conn); ok {
		n.Linger(f.closing, limit)
	}
}

// Stop shuts the server down. It first fails the readiness check and keeps accepting requests for
// ShutdownDelay, then waits for the requests and streams in progress. When ShutdownTimeout expires, it hands the
// remaining streams over to other boxes and cancels the remaining requests.
func (f *Front) Stop(c context.Context) error {
	f.SetNotReady()
	f.beginStop()
	f.streams.Drain()
	select {
	case <-f.accepted.C:
	case <-c.Done():
	}
	f.server.SetKeepAlivesEnabled(false)
	done := make(chan error, 1)
	go func() { done <- f.server.Shutdown(context.WithoutCancel(c)) }()
	select {
	case err := <-done:
		f.leaveStreams(c)
		return err
	case <-f.timeout.C:
	case <-c.Done():
	}
	f.handOver("shutdown timeout expired")
	f.cancelRequests()
	x, stop := context.WithTimeout(context.WithoutCancel(c), writeTimeout)
	defer stop()
	select {
	case err := <-done:
		f.awaitHandover(c)
		return err
	case <-x.Done():
		return f.server.Close()
	}
}

// handOver hands the remaining streams over to other boxes.
func (f *Front) handOver(reason string) {
	f.isAlone.Store(!f.streams.CanHandOver())
	n := f.streams.HandOver()
	f.Log.Info().Str("event", "hand over").Int("streams", n).Msg(reason)
}

// leaveStreams waits for streams that no request reads any more: those that other boxes read, and those whose callers may come back.
// When ShutdownTimeout expires, it hands them over.
func (f *Front) leaveStreams(c context.Context) {
	x, cancel := context.WithCancel(c)
	defer cancel()
	drained := make(chan bool, 1)
	go func() { drained <- f.streams.WaitDrained(x) }()
	select {
	case <-f.timeout.C:
	case <-drained:
	}
	f.handOver("no request is left")
	f.awaitHandover(c)
}

// awaitHandover waits until the streams are handed over.
func (f *Front) awaitHandover(c context.Context) {
	x, cancel := context.WithTimeout(context.WithoutCancel(c), handoverTimeout)
	defer cancel()
	if f.streams.CanHandOver() {
		f.streams.WaitDrained(x)
	}
}

// beginStop begins the times of Stop.
func (f *Front) beginStop() {
	f.mu.Lock()
	defer f.mu.Unlock()
	limit := f.ShutdownDelay + f.ShutdownTimeout
	f.Window.Begin(boottime.Now(), f.ShutdownDelay, limit)
	f.acceptBy, f.stopBy = time.Now().Add(f.ShutdownDelay), time.Now().Add(limit)
	f.accepted, f.timeout = time.NewTimer(f.ShutdownDelay), time.NewTimer(limit)
}

// SetStopDeadline shortens ShutdownDelay and ShutdownTimeout so that a Stop that has begun or begins now hands
// over the remaining streams by time t.
func (f *Front) SetStopDeadline(t time.Time) {
	f.dispatcher.SetStopDeadline(t.Add(cancelDelay))
	f.mu.Lock()
	defer f.mu.Unlock()
	remaining := max(time.Until(t), 0)
	switch {
	case f.stopBy.IsZero():
		f.ShutdownDelay = min(f.ShutdownDelay, remaining/4)
		f.ShutdownTimeout = min(f.ShutdownTimeout, remaining-f.ShutdownDelay)
	case t.Before(f.stopBy):
		f.stopBy = t
		f.Window.Shorten(boottime.Now().Add(remaining))
		f.timeout.Reset(remaining)
		f.accepted.Reset(min(time.Until(f.acceptBy), remaining/4))
	}
}

// SetNotReady makes the readiness check fail. Requests are still accepted, because the load balancer
// notices the change only at its next check.
func (f *Front) SetNotReady() { f.stopping.Store(true) }

// Addr returns the address on which the server listens. It must be called after Start.
func (f *Front) Addr() string { return f.listener.Addr().String() }

// Ready returns nil if the load balancer may send requests to this box.
func (f *Front) Ready() error {
	if f.stopping.Load() {
		return errkind.New(errkind.Stopping, "this box stops")
	}
	if f.follower.Current() == nil {
		return errkind.New(errkind.NotReady, "no configuration yet")
	}
	return nil
}

func (f *Front) routes() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/ready", f.serveReady)
	r.HandleFunc("/v1/models", f.handler(f.listModels)).Methods(http.MethodGet)
	r.HandleFunc("/v1/chat/completions", f.handler(f.completeChat)).Methods(http.MethodPost)
	r.HandleFunc("/v1/requests/{id}", f.handler(f.resumeStream)).Methods(http.MethodGet)
	r.HandleFunc("/v1/tickets", f.handler(f.issueTickets)).Methods(http.MethodPost)
	r.PathPrefix("/services/{service}").HandlerFunc(f.handler(f.callService))
	r.NotFoundHandler = http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		f.refuse(w, q, uuid.NewString(), errkind.New(errkind.BadRequest, "no such path: %s", q.URL.Path))
	})
	r.MethodNotAllowedHandler = http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		f.refuse(w, q, uuid.NewString(), errkind.New(errkind.BadRequest, "%s is not for %s", q.Method, q.URL.Path))
	})
	return r
}

func (f *Front) serveReady(w http.ResponseWriter, _ *http.Request) {
	setWriteDeadline(w)
	if err := f.Ready(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// setWriteDeadline bounds the time until the caller has read what is written next.
func setWriteDeadline(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout))
}

// session is a request of an authenticated account.
type session struct {
	id       string
	account  config.Account
	document *config.Document
	w        http.ResponseWriter
	r        *http.Request
	headers  callerHeaders
}

// handler returns an HTTP handler that authenticates the caller, limits the number of requests in
// progress, calls h and sends the error that h returns.
func (f *Front) handler(h func(*session) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		id := uuid.NewString()
		w.Header().Set(RequestIDHeader, id)
		if err := f.admit(w, r, id, h); err != nil {
			// resumeStream replaces the header with the ID of the resumed request.
			f.refuse(w, r, w.Header().Get(RequestIDHeader), err)
		}
	}
}

// refuse sends the error response for err to a caller whose body may not have been read.
func (f *Front) refuse(w http.ResponseWriter, r *http.Request, id string, err error) {
	f.refuseBody(w, r, err)
	f.writeError(w, id, err)
}

// admit runs h if the box has capacity for another request and the request is valid.
func (f *Front) admit(w http.ResponseWriter, r *http.Request, id string, h func(*session) error) error {
	if !f.requests.TryAcquire(1) {
		return errkind.New(errkind.Overloaded, "too many requests at this box").WithRetryAfter(time.Second)
	}
	defer f.requests.Release(1)
	s, err := f.newSession(w, r, id)
	if err != nil {
		return err
	}
	started := time.Now()
	err = h(s)
	metrics.GetOrRegisterTimer("front."+string(s.headers.kind), f.metrics).UpdateSince(started)
	return err
}

func (f *Front) newSession(w http.ResponseWriter, r *http.Request, id string) (*session, error) {
	d := f.follower.Current()
	if d == nil {
		return nil, errkind.New(errkind.NotReady, "no configuration yet").WithRetryAfter(time.Second)
	}
	a, ok := d.AccountByKey(bearerToken(r))
	if !ok {
		return nil, errkind.New(errkind.UnknownAccount, "the bearer key is not an account's")
	}
	fs, err := parseHeaders(r.Header, a)
	if err != nil {
		return nil, err
	}
	return &session{id: id, account: a, document: d, w: w, r: r, headers: fs}, nil
}
