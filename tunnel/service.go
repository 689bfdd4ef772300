// Package tunnel connects a box to endpoints through other boxes. The other box passes bytes on and
// decides nothing: the request, its retries and its limits stay with the box that received it. A
// tunnel always leads directly from the other box to the endpoint, so that there are no loops.
package tunnel

import (
	"context"
	"errors"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"github.com/vmihailenco/msgpack/v5"

	"birchlink.dev/birchlink/boottime"
	"birchlink.dev/birchlink/connend"
	"birchlink.dev/birchlink/frame"
	"birchlink.dev/birchlink/kernel"
	"birchlink.dev/birchlink/membudget"
	"birchlink.dev/birchlink/peer"
)

// Name is the name under which the service is registered in the kernel.
const Name = "tunnel"

// methodOpen is the call that opens a tunnel.
const methodOpen = "tunnel.open"

const (
	// maxTunnels bounds the tunnels through one box. With a connection at each end they take an eighth
	// of the descriptors of a small box.
	maxTunnels = 256

	// lingerTimeout is how long the far end waits for the near end to close the tunnel after the
	// endpoint has closed it. A connection that is closed with unread bytes is reset, and the
	// last bytes of the response may be lost.
	lingerTimeout = 2 * time.Second

	// maxLargeBytes bounds the frames of over maxDataBytes that are held for all tunnels, which near ends of earlier versions
	// send for large requests. Tunnels that have no room end.
	maxLargeBytes = 48 << 20

	// bufferSize is the size of the reads from an endpoint, in bytes.
	bufferSize = 16 << 10
)

// keepAlive closes a tunnel whose near end has vanished without a reset, after 30 s. A tunnel that passes
// nothing may wait for its endpoint, for as long as the caller does.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: 10 * time.Second, Interval: 5 * time.Second, Count: 4}

// Outcome is the result of an attempt to connect to an endpoint through another box.
type Outcome int

// The outcomes. Refused and Failed are reported only by a box that reaches other endpoints. Cut is
// reported by one whose own link to the endpoint has failed, Busy by one that has no room for more
// tunnels or stops, and InUse, to probes, by one that holds connections to the endpoint.
const (
	Connected Outcome = iota
	Refused
	Failed
	Cut
	Busy
	Unknown  // the box doesn't know the endpoint
	NoAnswer // the box did not answer
	InUse
	numOutcomes
)

// String returns the name of the outcome in logs and metrics.
func (o Outcome) String() string {
	return [...]string{"connected", "refused", "failed", "cut", "busy", "unknown", "no_answer", "in_use"}[o]
}

// Reached reports whether the outcome tells about the endpoint, and not about the box that was asked.
func (o Outcome) Reached() bool { return o == Connected || o == Refused || o == Failed || o == InUse }

// Request asks for a tunnel to an endpoint. A probe only asks what the other box knows of the endpoint: it names the
// incarnation whose process may have ended.
type Request struct {
	Endpoint    string
	Address     string
	Probe       bool   `msgpack:",omitempty"`
	Incarnation string `msgpack:",omitempty"`
}

// reply answers a request. Others are addresses of further boxes that may have tunnels.
type reply struct {
	Outcome Outcome
	Others  []string
}

// DialFunc connects to an endpoint directly. It returns Connected if the error is nil.
type DialFunc func(c context.Context, q Request) (net.Conn, Outcome)

// Service opens tunnels through other boxes, and serves the other boxes' tunnels. All exported fields
// must be set before it starts.
type Service struct {
	// Dial connects this box to an endpoint over its own links.
	Dial DialFunc

	// Boxes returns the addresses of the other boxes: the nearby ones, and others.
	Boxes func() (near, far []string)

	// Leaving reports whether this box stops, and StopLimit is how long it may take.
	Leaving   func() bool
	StopLimit time.Duration

	Metrics metrics.Registry
	Log     zerolog.Logger

	node  *peer.Node
	boxes directory

	large   membudget.Budget // large frames of all tunnels that are read or passed on
	open    atomic.Int64
	mu      sync.Mutex
	tunnels map[*frame.Conn]bool // served for other boxes
	links   map[*link]bool       // connections to endpoints that other boxes' tunnels lead over
	idle    chan struct{}        // receives an item when a tunnel has ended
	leftAt  time.Time            // when Leave was first called; zero before
}

// New returns a service.
func New(m metrics.Registry, log zerolog.Logger) *Service {
	return &Service{
		Leaving: func() bool { return false }, Metrics: m, Log: log,
		tunnels: map[*frame.Conn]bool{}, links: map[*link]bool{}, idle: make(chan struct{}, 1), large: membudget.Budget{Total: maxLargeBytes},
	}
}

// Name returns the service's name.
func (s *Service) Name() string { return Name }

// Start begins to serve tunnels.
func (s *Service) Start(_ context.Context, k *kernel.Kernel) error {
	if err := kernel.Bind(k, peer.Name, &s.node); err != nil {
		return err
	}
	s.boxes.self = s.node.Advertise
	s.node.Server.HandleTakeover(methodOpen, s.serve)
	return nil
}

// Stop waits until the other boxes have closed their tunnels through this one, for StopLimit at most since
// Leave was called first. No more are opened once Leaving returns true.
func (s *Service) Stop(c context.Context) error {
	s.Leave()
	s.mu.Lock()
	x, cancel := context.WithTimeout(c, s.StopLimit-boottime.Since(s.leftAt))
	s.mu.Unlock()
	defer cancel()
	for s.open.Load() > 0 {
		select {
		case <-s.idle:
		case <-x.Done():
			s.Log.Info().Str("event", "stop").Int64("tunnels", s.open.Load()).Msg("tunnels of other boxes are cut off")
			return nil
		}
	}
	return nil
}

// Leave tells the other boxes to send no further request through their tunnels. It is called as long as this
// box stops, since tunnels may have been opened just before.
func (s *Service) Leave() {
	for _, f := range s.beginLeave() {
		_ = f.Write(frame.Message{Type: frame.Cancel}, leaveTimeout)
	}
}

// beginLeave records that the box stops, and returns the tunnels that it serves.
func (s *Service) beginLeave() []*frame.Conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leftAt.IsZero() {
		s.leftAt = boottime.Now()
	}
	return slices.Collect(maps.Keys(s.tunnels))
}

// leaveTimeout bounds the write of the message that this box leaves.
const leaveTimeout = 50 * time.Millisecond

// CountOpen returns the number of tunnels that this box serves for others.
func (s *Service) CountOpen() int64 { return s.open.Load() }

// serve opens the far end of a tunnel and passes bytes on until either end closes.
func (s *Service) serve(c context.Context, f *frame.Conn, body []byte) {
	var q Request
	if err := msgpack.Unmarshal(body, &q); err != nil {
		return
	}
	defer s.end()
	n, o := net.Conn(nil), Busy
	if s.open.Add(1) <= maxTunnels && !s.Leaving() {
		n, o = s.Dial(c, q)
	}
	metrics.GetOrRegisterCounter("tunnels.served."+o.String(), s.Metrics).Inc(1)
	b, err := msgpack.Marshal(reply{Outcome: o, Others: s.sampleBoxes()})
	if err == nil {
		err = f.Write(frame.Message{Type: frame.End, Body: b}, writeTimeout)
	}
	if n == nil {
		return
	}
	if err != nil {
		reset(n)
		return
	}
	if t, ok := f.NetConn().(*net.TCPConn); ok {
		_ = t.SetKeepAliveConfig(keepAlive)
	}
	leaves := s.track(f)
	defer s.untrack(f)
	if leaves {
		_ = f.Write(frame.Message{Type: frame.Cancel}, leaveTimeout)
	}
	f.Large = &s.large
	pass(c, f, s.newLink(n, q))
}

// sampleSize is the number of other boxes that an answer names.
const sampleSize = 4

// sampleBoxes returns some of the nearby boxes at random.
func (s *Service) sampleBoxes() []string {
	near, _ := s.Boxes()
	return pick(near, sampleSize)
}

// pick returns up to n of the addresses at random.
func pick(as []string, n int) []string {
	out := make([]string, 0, n)
	for _, i := range rand.Perm(len(as))[:min(n, len(as))] {
		out = append(out, as[i])
	}
	return out
}

// end counts a tunnel, or a request for one, as ended.
func (s *Service) end() {
	s.open.Add(-1)
	select {
	case s.idle <- struct{}{}:
	default:
	}
}

// track adds a tunnel to those that Leave informs. It returns whether the box stops already, so that the tunnel is to be told now.
func (s *Service) track(f *frame.Conn) (leaves bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tunnels[f] = true
	return !s.leftAt.IsZero()
}

func (s *Service) untrack(f *frame.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.tunnels, f)
}

// pass passes bytes between the two ends of a tunnel. If the near end closes or is lost, the connection to
// the endpoint is reset, so that nothing that was given up still arrives there.
func pass(c context.Context, f *frame.Conn, endpoint net.Conn) {
	n := connend.New(endpoint)
	stop := context.AfterFunc(c, func() { f.Close() })
	defer stop()
	done := make(chan struct{})
	go func() {
		defer close(done)
		passBack(f, n)
		_ = f.NetConn().SetReadDeadline(time.Now().Add(lingerTimeout))
	}()
	cut := false // a write took only a part of its bytes, so that no others may follow them
	for {
		m, err := f.Read()
		if err != nil {
			break
		}
		var b []byte
		if m.Type != frame.Item || msgpack.Unmarshal(m.Body, &b) != nil {
			break
		}
		isLarge, held := f.Large != nil && len(b) > maxDataBytes, int64(len(m.Body)+len(b))
		if isLarge && !f.Large.Acquire(held) {
			break
		}
		if !cut {
			_ = n.SetWriteDeadline(time.Now().Add(writeTimeout))
			_, err = n.Write(b)
			cut = err != nil // the response may still be read
		}
		if isLarge {
			f.Large.Release(held)
		}
	}
	reset(n)
	<-done
}

// passBack passes what the endpoint sends to the near end, and how the connection ended. An orderly end has the number of bytes that
// were written before it, since the near end may have sent more.
func passBack(f *frame.Conn, n *connend.Conn) {
	b := make([]byte, bufferSize)
	for {
		k, err := n.Read(b)
		if k > 0 {
			if writeData(f, b[:k]) != nil {
				reset(n)
				return
			}
		}
		switch {
		case err == nil:
			continue
		case errors.Is(err, io.EOF):
			b, _ := msgpack.Marshal(n.Written()) // a number can be encoded
			_ = f.Write(frame.Message{Type: frame.End, Body: b}, writeTimeout)
		default:
			_ = f.Write(frame.Message{Type: frame.Fail}, writeTimeout)
		}
		return
	}
}

// reset closes a connection and discards what was not delivered.
func reset(n net.Conn) {
	if t, ok := n.(interface{ SetLinger(seconds int) error }); ok {
		_ = t.SetLinger(0)
	}
	_ = n.Close()
}

// OutcomeOf returns the outcome of an attempt to connect that ended with err. Only a refusal shows that no
// process listens: an endpoint with too many connections resets them.
func OutcomeOf(err error) Outcome {
	switch {
	case err == nil:
		return Connected
	case errors.Is(err, syscall.ECONNREFUSED):
		return Refused
	default:
		return Failed
	}
}

const (
	// maxAsked bounds the boxes that are asked for one tunnel, askTimeout the time for each and
	// connectTimeout that for all.
	maxAsked       = 4
	askTimeout     = 120 * time.Millisecond
	connectTimeout = 300 * time.Millisecond
)

// Probe asks other boxes what they know of an endpoint. The outcome is Connected if any of them connects to it, InUse if
// any holds connections to it, and otherwise that of Connect.
func (s *Service) Probe(c context.Context, q Request) Outcome {
	q.Probe = true
	n, o := s.Connect(c, q)
	if n != nil {
		_ = n.Close()
	}
	return o
}

// Connect connects to an endpoint through another box, which it picks at random among those that
// have not failed of late. If no box is connected, it returns nil and the outcome that tells most about the
// endpoint: Refused or Failed if a box reported that. The outcome is NoAnswer if no other box is known.
func (s *Service) Connect(c context.Context, q Request) (net.Conn, Outcome) {
	x, cancel := context.WithTimeout(c, connectTimeout)
	defer cancel()
	near, far := s.Boxes()
	best := NoAnswer
	for _, box := range s.boxes.choose(near, far, maxAsked, boottime.Now()) {
		n, o := s.ask(x, box, q)
		if n != nil || o == InUse {
			return n, o
		}
		if x.Err() != nil && o == NoAnswer {
			break
		}
		if o < best {
			best = o
		}
	}
	return nil, best
}

// HasOthers reports whether any other box is known.
func (s *Service) HasOthers() bool {
	near, far := s.Boxes()
	return len(near)+len(far) > 0
}

// ask asks one box for a tunnel.
func (s *Service) ask(c context.Context, box string, q Request) (net.Conn, Outcome) {
	x, cancel := context.WithTimeout(c, askTimeout)
	defer cancel()
	var r reply
	f, err := s.node.Client.Takeover(x, box, methodOpen, q, &r)
	if err != nil || r.Outcome < 0 || r.Outcome >= numOutcomes {
		r.Outcome = NoAnswer
	}
	if c.Err() == nil || err == nil {
		s.boxes.record(box, r.Outcome, r.Others, boottime.Now())
		metrics.GetOrRegisterCounter("tunnels.asked."+r.Outcome.String(), s.Metrics).Inc(1)
	}
	switch {
	case err != nil:
		return nil, NoAnswer
	case r.Outcome != Connected:
		f.Close()
		return nil, r.Outcome
	}
	return &conn{Conn: f.NetConn(), frames: f, via: box}, Connected
}
