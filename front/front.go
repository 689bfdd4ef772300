// Package front is the HTTP face towards callers.
package front

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/gorilla/mux"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"golang.org/x/sync/semaphore"

	"birchlink.dev/birchlink/config"
	"birchlink.dev/birchlink/dispatch"
	"birchlink.dev/birchlink/errkind"
	"birchlink.dev/birchlink/follower"
	"birchlink.dev/birchlink/kernel"
	"birchlink.dev/birchlink/plain"
	"birchlink.dev/birchlink/stream"
	"birchlink.dev/birchlink/wait"
)

// Name is the name of the service.
const Name = "front"

// The bounds towards callers, who may be slow or gone.
const (
	headerLimit = 5 * time.Second
	bodyLimit   = 15 * time.Second
	writeLimit  = 15 * time.Second
	idleLimit   = 2 * time.Minute
	maxHeaders  = 32 << 10
	bodyRoom    = 64 << 20
)

// Options sets the front up.
type Options struct {
	Address     string
	MaxBody     int
	MaxRequests int
	StopNotice  time.Duration
	StopLimit   time.Duration
}

// Front is the service of one box.
type Front struct {
	Options
	Log zerolog.Logger

	dispatcher *dispatch.Dispatcher
	keeper     *stream.Keeper
	proxy      *plain.Proxy
	follower   *follower.Follower
	server     *http.Server
	listener   net.Listener
	room       *semaphore.Weighted
	bodies     *semaphore.Weighted
	leaving    atomic.Bool
	hurry      context.Context
	hurryUp    context.CancelFunc
	metrics    metrics.Registry
}

// New returns the front of a box.
func New(o Options, m metrics.Registry, log zerolog.Logger) *Front {
	f := &Front{
		Options: o, Log: log, metrics: m,
		room: semaphore.NewWeighted(int64(o.MaxRequests)), bodies: semaphore.NewWeighted(bodyRoom),
	}
	f.hurry, f.hurryUp = context.WithCancel(context.Background())
	return f
}

// Name returns the service's name.
func (f *Front) Name() string { return Name }

// Start listens for callers.
func (f *Front) Start(_ context.Context, k *kernel.Kernel) error {
	err := errors.Join(
		kernel.Bind(k, dispatch.Name, &f.dispatcher),
		kernel.Bind(k, stream.Name, &f.keeper),
		kernel.Bind(k, plain.Name, &f.proxy),
		kernel.Bind(k, follower.Name, &f.follower),
	)
	if err != nil {
		return err
	}
	if f.listener, err = net.Listen("tcp", f.Address); err != nil {
		return fmt.Errorf("listen for callers: %w", err)
	}
	f.server = &http.Server{
		Handler: f.routes(), ReadHeaderTimeout: headerLimit, IdleTimeout: idleLimit, MaxHeaderBytes: maxHeaders,
	}
	go func() {
		if err := f.server.Serve(f.listener); !errors.Is(err, http.ErrServerClosed) {
			f.Log.Error().Err(err).Msg("callers are no longer served")
		}
	}()
	return nil
}

// Stop leaves the balancer, lets every request end, hands over what is left at
// the limit, and closes.
func (f *Front) Stop(c context.Context) error {
	f.Leave()
	f.keeper.Drain()
	wait.For(c, f.StopNotice)
	f.server.SetKeepAlivesEnabled(false)
	c, cancel := context.WithTimeout(c, f.StopLimit)
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- f.server.Shutdown(context.WithoutCancel(c)) }()
	select {
	case err := <-done:
		return err
	case <-c.Done():
	}
	n := f.keeper.HandOver()
	f.Log.Info().Str("event", "hand over").Int("streams", n).Msg("the limit of the stop is reached")
	f.hurryUp()
	x, stop := context.WithTimeout(context.WithoutCancel(c), writeLimit)
	defer stop()
	select {
	case err := <-done:
		return err
	case <-x.Done():
		return f.server.Close()
	}
}

// StopBy lets a stop that follows take no longer than to a time.
func (f *Front) StopBy(t time.Time) {
	left := max(time.Until(t), 0)
	f.StopNotice = min(f.StopNotice, left/4)
	f.StopLimit = min(f.StopLimit, left-f.StopNotice)
}

// Leave makes the balancer's check fail. Requests are still taken, since the
// balancer needs a moment to see it.
func (f *Front) Leave() { f.leaving.Store(true) }

// Listening returns where callers are served, once the front has started.
func (f *Front) Listening() string { return f.listener.Addr().String() }

// Ready returns nil if the balancer may send requests here.
func (f *Front) Ready() error {
	if f.leaving.Load() {
		return errkind.New(errkind.Stopping, "this box stops")
	}
	if f.follower.Current() == nil {
		return errkind.New(errkind.NotReady, "no configuration yet")
	}
	return nil
}

func (f *Front) routes() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/ready", f.ready)
	r.HandleFunc("/v1/models", f.caller(f.models)).Methods(http.MethodGet)
	r.HandleFunc("/v1/chat/completions", f.caller(f.chat)).Methods(http.MethodPost)
	r.HandleFunc("/v1/requests/{id}", f.caller(f.resume)).Methods(http.MethodGet)
	r.HandleFunc("/v1/tickets", f.caller(f.tickets)).Methods(http.MethodPost)
	r.PathPrefix("/services/{service}").HandlerFunc(f.caller(f.service))
	r.NotFoundHandler = http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		f.fail(w, uuid.NewString(), errkind.New(errkind.BadRequest, "no such path: %s", q.URL.Path))
	})
	r.MethodNotAllowedHandler = http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
		f.fail(w, uuid.NewString(), errkind.New(errkind.BadRequest, "%s is not for %s", q.Method, q.URL.Path))
	})
	return r
}

func (f *Front) ready(w http.ResponseWriter, _ *http.Request) {
	if err := f.Ready(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// session is one request of a known account.
type session struct {
	id       string
	account  config.Account
	document *config.Document
	w        http.ResponseWriter
	r        *http.Request
	fields   fields
}

// caller checks who calls and that there is room, and answers what h returns.
func (f *Front) caller(h func(*session) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		id := uuid.NewString()
		w.Header().Set(RequestIDHeader, id)
		if err := f.admit(w, r, id, h); err != nil {
			// A resume answers under the id of the request that it resumes.
			f.fail(w, w.Header().Get(RequestIDHeader), err)
		}
	}
}

func (f *Front) admit(w http.ResponseWriter, r *http.Request, id string, h func(*session) error) error {
	if !f.room.TryAcquire(1) {
		return errkind.New(errkind.Overloaded, "too many requests at this box").After(time.Second)
	}
	defer f.room.Release(1)
	s, err := f.session(w, r, id)
	if err != nil {
		return err
	}
	started := time.Now()
	err = h(s)
	metrics.GetOrRegisterTimer("front."+string(s.fields.kind), f.metrics).UpdateSince(started)
	return err
}

func (f *Front) session(w http.ResponseWriter, r *http.Request, id string) (*session, error) {
	d := f.follower.Current()
	if d == nil {
		return nil, errkind.New(errkind.NotReady, "no configuration yet").After(time.Second)
	}
	a, ok := d.AccountByKey(bearer(r))
	if !ok {
		return nil, errkind.New(errkind.UnknownAccount, "the bearer key is not an account's")
	}
	fs, err := readFields(r.Header, a)
	if err != nil {
		return nil, err
	}
	return &session{id: id, account: a, document: d, w: w, r: r, fields: fs}, nil
}
