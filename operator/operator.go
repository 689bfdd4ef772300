// Package operator serves the HTTP API for operators, with which they read, check and change the
// configuration, read the state of a box and explain its decisions. It also serves the health
// checks of the load balancer and the metrics.
package operator

import (
	"context"
	"crypto/subtle"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/gorilla/mux"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"birchlink.dev/birchlink/configsync"
	"birchlink.dev/birchlink/decisions"
	"birchlink.dev/birchlink/errkind"
	"birchlink.dev/birchlink/fleet"
	"birchlink.dev/birchlink/front"
	"birchlink.dev/birchlink/iniread"
	"birchlink.dev/birchlink/jsonhttp"
	"birchlink.dev/birchlink/kernel"
	"birchlink.dev/birchlink/member"
	"birchlink.dev/birchlink/peer"
	"birchlink.dev/birchlink/placement"
	"birchlink.dev/birchlink/placer"
	"birchlink.dev/birchlink/stream"
	"birchlink.dev/birchlink/view"
)

// Name is the name under which the service is registered in the kernel.
const Name = "operator"

const callTimeout = 10 * time.Second

// The limits of a connection beside the times of a call.
const (
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 32 << 10
)

// Edit is a new configuration from an operator. Base is the version on which it is based, and Editor
// names the operator.
type Edit struct {
	Base   uint64 `json:"base"`
	Text   string `json:"text"`
	Editor string `json:"editor"`
}

// Refusal is the response to a request that was refused. Mistakes lists the errors of a
// configuration.
type Refusal struct {
	Kind     string            `json:"kind"`
	Message  string            `json:"message"`
	Mistakes []iniread.Mistake `json:"mistakes,omitempty"`
}

// Status is the state of a box and what it knows of the other boxes and the endpoints. Ready is
// "yes" or the reason why the box is not ready. HorizonAge is the age of the horizon, the time up to
// which all notices are known. DutyHolder is the incarnation of the box that holds the lease of the
// placer, DutyFence is the fence of that lease, and Plan is the last plan that this box computed.
type Status struct {
	Box         string           `json:"box"`
	DataCentre  string           `json:"data_centre"`
	Incarnation string           `json:"incarnation"`
	Version     uint64           `json:"version"`
	Ready       string           `json:"ready"`
	Streams     int              `json:"streams"`
	HorizonAge  time.Duration    `json:"horizon_age"`
	Members     []member.Member  `json:"members"`
	Endpoints   []fleet.Endpoint `json:"endpoints"`
	DutyHolder  string           `json:"duty_holder"`
	DutyFence   uint64           `json:"duty_fence"`
	Plan        placement.Plan   `json:"plan"`
}

// Operator is the operator API server of one box.
type Operator struct {
	Address string
	Key     string
	Log     zerolog.Logger
	Metrics metrics.Registry

	follower  *configsync.Follower
	members   *member.Service
	view      *view.View
	placer    *placer.Placer
	streams   *stream.Service
	front     *front.Front
	decisions *decisions.Log
	peers     *peer.Node
	server    *http.Server
	listener  net.Listener
}

// New returns an Operator. Requests below /operator/ must have key as their bearer token.
func New(address, key string, m metrics.Registry, log zerolog.Logger) *Operator {
	return &Operator{Address: address, Key: key, Metrics: m, Log: log}
}

// Name returns the service's name.
func (o *Operator) Name() string { return Name }

// Start begins to accept requests.
func (o *Operator) Start(_ context.Context, k *kernel.Kernel) error {
	if err := o.bindServices(k); err != nil {
		return err
	}
	var err error
	if o.listener, err = net.Listen("tcp", o.Address); err != nil {
		return fmt.Errorf("listen for operators: %w", err)
	}
	o.server = o.newServer()
	go func() {
		if err := o.server.Serve(o.listener); !errors.Is(err, http.ErrServerClosed) {
			o.Log.Error().Err(err).Msg("operator server failed")
		}
	}()
	return nil
}

func (o *Operator) newServer() *http.Server {
	return &http.Server{
		Handler: o.routes(), ReadHeaderTimeout: callTimeout, ReadTimeout: 2 * callTimeout, WriteTimeout: 2 * callTimeout,
		IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
	}
}

func (o *Operator) bindServices(k *kernel.Kernel) error {
	return errors.Join(
		kernel.Bind(k, configsync.Name, &o.follower),
		kernel.Bind(k, member.Name, &o.members),
		kernel.Bind(k, view.Name, &o.view),
		kernel.Bind(k, placer.Name, &o.placer),
		kernel.Bind(k, stream.Name, &o.streams),
		kernel.Bind(k, front.Name, &o.front),
		kernel.Bind(k, decisions.Name, &o.decisions),
		kernel.Bind(k, peer.Name, &o.peers),
	)
}

// Stop closes the server and its connections.
func (o *Operator) Stop(context.Context) error { return o.server.Close() }

// Addr returns the address on which the server listens. It must be called after Start.
func (o *Operator) Addr() string { return o.listener.Addr().String() }

func (o *Operator) routes() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/live", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	r.HandleFunc("/ready", func(w http.ResponseWriter, _ *http.Request) {
		if err := o.front.Ready(); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
		}
	})
	r.HandleFunc("/metrics", func(w http.ResponseWriter, _ *http.Request) { jsonhttp.Write(w, http.StatusOK, o.Metrics.GetAll()) })
	r.HandleFunc("/operator/config", o.authenticated(o.showConfig)).Methods(http.MethodGet)
	r.HandleFunc("/operator/config", o.authenticated(o.putConfig)).Methods(http.MethodPut)
	r.HandleFunc("/operator/check", o.authenticated(o.checkConfig)).Methods(http.MethodPost)
	r.HandleFunc("/operator/status", o.authenticated(o.showStatus)).Methods(http.MethodGet)
	r.HandleFunc("/operator/explain/{subject}", o.authenticated(o.explain)).Methods(http.MethodGet)
	return r
}

// authenticated returns a handler that calls h only for requests with the operators' key.
func (o *Operator) authenticated(h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if subtle.ConstantTimeCompare([]byte(r.Header.Get("Authorization")), []byte("Bearer "+o.Key)) != 1 {
			writeRefusal(w, errkind.New(errkind.UnknownAccount, "the operators' key is wrong"), nil)
			return
		}
		h(w, r)
	}
}

func writeRefusal(w http.ResponseWriter, err error, ms []iniread.Mistake) {
	e := errkind.Of(err)
	jsonhttp.Write(w, e.Kind.Response().Status, Refusal{Kind: e.Kind.String(), Message: e.Message, Mistakes: ms})
}

func (o *Operator) showConfig(w http.ResponseWriter, _ *http.Request) {
	jsonhttp.Write(w, http.StatusOK, o.follower.Revision())
}

func (o *Operator) putConfig(w http.ResponseWriter, r *http.Request) {
	var e Edit
	if !jsonhttp.Read(w, r, &e) {
		return
	}
	c, cancel := context.WithTimeout(r.Context(), callTimeout)
	defer cancel()
	bs, _ := o.view.Boxes()
	if ms := configsync.Check(e.Text, bs); len(ms) > 0 {
		writeRefusal(w, errkind.New(errkind.ConfigInvalid, "%d mistakes", len(ms)), ms)
		return
	}
	v, err := o.follower.Put(c, e.Base, e.Text, e.Editor, bs)
	o.Log.Info().Str("event", "edit").Str("editor", e.Editor).Uint64("base", e.Base).Err(err).Msg("configuration edited")
	if err != nil {
		writeRefusal(w, err, nil)
		return
	}
	jsonhttp.Write(w, http.StatusOK, v)
}

func (o *Operator) checkConfig(w http.ResponseWriter, r *http.Request) {
	var e Edit
	if !jsonhttp.Read(w, r, &e) {
		return
	}
	bs, _ := o.view.Boxes()
	if ms := configsync.Check(e.Text, bs); len(ms) > 0 {
		writeRefusal(w, errkind.New(errkind.ConfigInvalid, "%d mistakes", len(ms)), ms)
		return
	}
	jsonhttp.Write(w, http.StatusOK, struct{}{})
}

func (o *Operator) showStatus(w http.ResponseWriter, _ *http.Request) {
	m := o.members.Self()
	s := Status{
		Box: m.Box, DataCentre: m.DataCentre, Incarnation: m.Incarnation, Version: o.follower.Revision().Version,
		Ready: "yes", Streams: o.streams.Live(), HorizonAge: time.Since(o.view.Horizon()), Members: o.members.Up(""),
		Plan: o.placer.Plan(),
	}
	if err := o.front.Ready(); err != nil {
		s.Ready = err.Error()
	}
	for _, e := range o.view.Endpoints() {
		s.Endpoints = append(s.Endpoints, e.Endpoint)
	}
	s.DutyHolder, s.DutyFence = o.placer.Leader()
	jsonhttp.Write(w, http.StatusOK, s)
}

// explain returns the decisions of all reachable boxes about a subject.
func (o *Operator) explain(w http.ResponseWriter, r *http.Request) {
	subject := mux.Vars(r)["subject"]
	ds := o.decisions.Find(subject)
	c, cancel := context.WithTimeout(r.Context(), callTimeout/2)
	defer cancel()
	for _, m := range o.members.Up("") {
		var remote []decisions.Decision
		if m.Box != o.members.Self().Box && o.peers.Client.Call(c, m.Address, "decisions.find", subject, &remote) == nil {
			ds = append(ds, remote...)
		}
	}
	jsonhttp.Write(w, http.StatusOK, ds)
}
