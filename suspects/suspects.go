// Package suspects provides the service that keeps requests which crash endpoints from being sent to
// further ones, for requests to Birchlink's own interface. Boxes notify each other of the contents
// under which endpoints crashed.
package suspects

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"birchlink.dev/birchlink/boottime"
	"birchlink.dev/birchlink/errkind"
	"birchlink.dev/birchlink/kernel"
	"birchlink.dev/birchlink/member"
	"birchlink.dev/birchlink/peer"
	"birchlink.dev/birchlink/quarantine"
	"birchlink.dev/birchlink/requesthash"
	"birchlink.dev/birchlink/wait"
)

// Name is the name under which the service is registered in the kernel.
const Name = "suspects"

// A live process accepts a connection within a round trip of a few milliseconds, and a box whose
// process has crashed refuses it as fast, so dialTimeout suffices to tell them apart. Every
// resendInterval one random box gets all recent records, which it may have missed because it was
// partitioned or has just started.
const (
	dialTimeout    = 25 * time.Millisecond
	callTimeout    = 2 * time.Second
	resendInterval = time.Second
)

// methodTell is the method of the calls by which boxes send suspects to each other.
const methodTell = "suspects.tell"

// Service quarantines the contents that crash endpoints, on behalf of one box.
type Service struct {
	quarantine quarantine.Quarantine
	members    *member.Service
	peers      *peer.Node

	ctx    context.Context
	cancel context.CancelFunc

	mu      sync.Mutex
	stopped bool
	group   sync.WaitGroup
}

// New returns a service that logs to log.
func New(log zerolog.Logger) *Service {
	s := &Service{quarantine: quarantine.Quarantine{Log: log}}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	return s
}

// Name returns the service's name.
func (s *Service) Name() string { return Name }

// Start begins to exchange suspects with other boxes.
func (s *Service) Start(_ context.Context, k *kernel.Kernel) error {
	if err := errors.Join(kernel.Bind(k, member.Name, &s.members), kernel.Bind(k, peer.Name, &s.peers)); err != nil {
		return err
	}
	s.quarantine.SendsTrials = s.sendsTrials
	s.quarantine.OnChange = s.broadcast
	peer.Handle(s.peers.Server, methodTell, func(_ context.Context, in []quarantine.Suspect) (bool, error) {
		return s.quarantine.Merge(in, boottime.Now()), nil
	})
	s.spawn(s.resendLoop)
	return nil
}

// Stop cancels outstanding calls and waits for the goroutines of the service to end.
func (s *Service) Stop(context.Context) error {
	s.cancel()
	s.mu.Lock()
	s.stopped = true
	s.mu.Unlock()
	s.group.Wait()
	return nil
}

// spawn runs f in a goroutine that Stop waits for. It does nothing once Stop was called.
func (s *Service) spawn(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.stopped {
		s.group.Go(f)
	}
}

// Check returns an error of kind errkind.Quarantined if a request must not be sent to any endpoint
// because several crashed under one of its items. Versions are the software versions of the endpoints that could get it, of
// which the verdict may allow some only.
func (s *Service) Check(r quarantine.Request, versions []string) (quarantine.Verdict, error) {
	v := s.quarantine.Judge(r, func() []string { return versions }, boottime.Now())
	if v.Refused {
		return v, errkind.New(errkind.Quarantined, "endpoints ended while they ran this request or others with a part of its prompt").WithRetryAfter(v.RetryAfter)
	}
	return v, nil
}

// Admit reports whether an attempt may be sent now. It must be called just before, since it counts trials.
func (s *Service) Admit(a quarantine.Attempt, versions []string) bool {
	return s.quarantine.Admit(a, func() []string { return versions }, boottime.Now())
}

// RecordAnswer records that an endpoint of a software version has answered a request completely, which it began at a time.
func (s *Service) RecordAnswer(r quarantine.Request, version string, begun time.Time) {
	s.quarantine.RecordAnswer(r, version, begun, boottime.Now())
}

// RecordRunning records that an endpoint of a software version has been sending an answer for quarantine.RunningTime, which it
// began at a time.
func (s *Service) RecordRunning(r quarantine.Request, version string, begun time.Time) {
	s.quarantine.RecordRunning(r, version, begun, boottime.Now())
}

// RecordFailure records that an attempt, sent at a time, broke at a process that had not announced its shutdown. It
// dials the address and records a crash if the connection is refused.
func (s *Service) RecordFailure(c context.Context, a quarantine.Attempt, sent time.Time, address string) {
	process := a.Endpoint
	s.quarantine.RecordFailure(a, sent, boottime.Now())
	d := net.Dialer{Timeout: dialTimeout, KeepAlive: -1}
	n, err := d.DialContext(c, "tcp", address)
	switch {
	case err == nil:
		_ = n.Close()
	case errors.Is(err, syscall.ECONNREFUSED):
		s.quarantine.RecordCrash(process, "it refuses connections", boottime.Now())
	}
}

// broadcast sends changed records to all other boxes.
func (s *Service) broadcast(changed []quarantine.Suspect) {
	for _, m := range s.others() {
		s.spawn(func() { s.call(m, changed) })
	}
}

// others returns the other boxes that are up.
func (s *Service) others() []member.Member {
	own := s.members.Self().Box
	return slices.DeleteFunc(slices.Clone(s.members.Up("")), func(m member.Member) bool { return m.Box == own })
}

// resendLoop periodically sends the recent records and the verdicts to one random box.
func (s *Service) resendLoop() {
	for s.ctx.Err() == nil {
		wait.For(s.ctx, resendInterval)
		now := boottime.Now()
		records := append(s.quarantine.Recent(now), s.quarantine.Verdicts(now)...)
		if ms := s.others(); len(ms) > 0 && len(records) > 0 {
			s.call(ms[rand.IntN(len(ms))], records)
		}
	}
}

// call sends records to a box. An error is ignored, because resendLoop sends them again.
func (s *Service) call(m member.Member, records []quarantine.Suspect) {
	c, cancel := context.WithTimeout(s.ctx, callTimeout)
	defer cancel()
	var changed bool
	_ = s.peers.Client.Call(c, m.Address, methodTell, records, &changed)
}

// sendsTrials reports whether this box is the one that sends a refused content as a trial: the
// first among all boxes by rendezvous hashing.
func (s *Service) sendsTrials(h requesthash.Hash) bool {
	weight := func(box string) uint64 { return xxhash.Sum64String(h.String() + "/" + box) }
	own := weight(s.members.Self().Box)
	for _, m := range s.others() {
		if weight(m.Box) > own {
			return false
		}
	}
	return true
}
