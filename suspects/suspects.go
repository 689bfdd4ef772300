// Package suspects keeps, on the own interface, the requests under which endpoints end from
// going on to more of them, and lets the boxes tell each other.
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
	"birchlink.dev/birchlink/content"
	"birchlink.dev/birchlink/errkind"
	"birchlink.dev/birchlink/kernel"
	"birchlink.dev/birchlink/member"
	"birchlink.dev/birchlink/peer"
	"birchlink.dev/birchlink/quarantine"
	"birchlink.dev/birchlink/wait"
)

// Name is the name of the service.
const Name = "suspects"

// The times of the service. A process that lives accepts a connection within a round trip of
// some milliseconds, and a box whose process has ended refuses as fast. Now and then one other
// box is told again what it may have missed: one that was cut off or has just started.
const (
	checkLimit = 25 * time.Millisecond
	callLimit  = 2 * time.Second
	againEvery = time.Second
)

// tell is the method by which boxes tell each other.
const tell = "suspects.tell"

// Suspects is the service of one box.
type Suspects struct {
	quarantine quarantine.Quarantine
	members    *member.Service
	peers      *peer.Node

	life context.Context
	end  context.CancelFunc

	mu      sync.Mutex
	stopped bool
	group   sync.WaitGroup
}

// New returns the service of a box.
func New(log zerolog.Logger) *Suspects {
	s := &Suspects{quarantine: quarantine.Quarantine{Log: log}}
	s.life, s.end = context.WithCancel(context.Background())
	return s
}

// Name returns the service's name.
func (s *Suspects) Name() string { return Name }

// Start begins to hear other boxes, and to tell them.
func (s *Suspects) Start(_ context.Context, k *kernel.Kernel) error {
	if err := errors.Join(kernel.Bind(k, member.Name, &s.members), kernel.Bind(k, peer.Name, &s.peers)); err != nil {
		return err
	}
	s.quarantine.Tries = s.tries
	s.quarantine.OnNews = s.tellAll
	peer.Handle(s.peers.Server, tell, func(_ context.Context, in []quarantine.Suspect) (bool, error) {
		return s.quarantine.Hear(in, boottime.Now()), nil
	})
	s.spawn(s.tellAgain)
	return nil
}

// Stop ends the telling.
func (s *Suspects) Stop(context.Context) error {
	s.end()
	s.mu.Lock()
	s.stopped = true
	s.mu.Unlock()
	s.group.Wait()
	return nil
}

// spawn begins a goroutine that Stop waits for; once it stops, none.
func (s *Suspects) spawn(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.stopped {
		s.group.Go(f)
	}
}

// Check returns an error if a request is to be sent to no endpoint, since others ended under
// what it asks for. Otherwise the request is taken to be sent now.
func (s *Suspects) Check(h content.Hash) error {
	now := boottime.Now()
	if left, refused := s.quarantine.Refuses(h, now); refused {
		return errkind.New(errkind.Quarantined, "endpoints ended while they ran this request").After(left)
	}
	s.quarantine.Sent(h, now)
	return nil
}

// Answered notes that an endpoint has answered a content to its end.
func (s *Suspects) Answered(h content.Hash) { s.quarantine.Answered(h, boottime.Now()) }

// Broke notes that an attempt broke off at a process that did not say that it leaves, and looks
// whether it has ended.
func (s *Suspects) Broke(c context.Context, h content.Hash, process, address string) {
	s.quarantine.Broke(h, process, boottime.Now())
	d := net.Dialer{Timeout: checkLimit, KeepAlive: -1}
	n, err := d.DialContext(c, "tcp", address)
	switch {
	case err == nil:
		_ = n.Close()
	case errors.Is(err, syscall.ECONNREFUSED):
		s.quarantine.Ended(process, "it refuses connections", boottime.Now())
	}
}

// tellAll tells all other boxes what this one has just learnt.
func (s *Suspects) tellAll(news []quarantine.Suspect) {
	for _, m := range s.others() {
		s.spawn(func() { s.call(m, news) })
	}
}

// others returns the other boxes that are up.
func (s *Suspects) others() []member.Member {
	own := s.members.Self().Box
	return slices.DeleteFunc(slices.Clone(s.members.Up("")), func(m member.Member) bool { return m.Box == own })
}

// tellAgain tells one other box at a time what is known lately and what is refused.
func (s *Suspects) tellAgain() {
	for s.life.Err() == nil {
		wait.For(s.life, againEvery)
		now := boottime.Now()
		known := append(s.quarantine.Recent(now), s.quarantine.Verdicts(now)...)
		if ms := s.others(); len(ms) > 0 && len(known) > 0 {
			s.call(ms[rand.IntN(len(ms))], known)
		}
	}
}

func (s *Suspects) call(m member.Member, told []quarantine.Suspect) {
	c, cancel := context.WithTimeout(s.life, callLimit)
	defer cancel()
	var news bool
	_ = s.peers.Client.Call(c, m.Address, tell, told, &news) // who is not reached is told again
}

// tries reports whether this box is the one of all that sends a refused content on as a trial:
// the first by rendezvous.
func (s *Suspects) tries(h content.Hash) bool {
	weight := func(box string) uint64 { return xxhash.Sum64String(h.String() + "/" + box) }
	own := weight(s.members.Self().Box)
	for _, m := range s.others() {
		if weight(m.Box) > own {
			return false
		}
	}
	return true
}
