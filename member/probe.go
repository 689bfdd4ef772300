package member

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"birchlink.dev/birchlink/kv"
)

func (s *Service) every(c context.Context, d time.Duration, f func(context.Context)) {
	t := time.NewTicker(d)
	defer t.Stop()
	for {
		select {
		case <-c.Done():
			return
		case <-t.C:
			f(c)
		}
	}
}

// join asks the seeds, and the platform's service for boxes that came later.
func (s *Service) join(c context.Context) {
	c, cancel := context.WithTimeout(c, joinLimit)
	defer cancel()
	addresses := slices.Clone(s.Seeds)
	if es, err := s.store.List(c, registerPrefix); err == nil {
		for _, e := range es {
			var m Member
			if msgpack.Unmarshal(e.Value, &m) == nil && !slices.Contains(addresses, m.Address) {
				addresses = append(addresses, m.Address)
			}
		}
	}
	var g sync.WaitGroup
	for _, a := range addresses {
		if a != s.self.Address {
			g.Go(func() { s.sync(c, a) })
		}
	}
	g.Wait()
	s.register(c)
}

func (s *Service) register(c context.Context) {
	k := registerPrefix + s.self.Box
	e, err := s.store.Get(c, k)
	if err != nil {
		s.Log.Warn().Err(err).Msg("not registered")
		return
	}
	b, err := msgpack.Marshal(s.Self())
	if err != nil {
		return
	}
	if _, err := s.store.Swap(c, kv.Entry{Key: k, Rev: e.Rev, Value: b}); err != nil {
		s.Log.Warn().Err(err).Msg("not registered")
	}
}

// round probes the next member and settles old suspicions.
func (s *Service) round(c context.Context) {
	s.expire()
	m, ok := s.nextTarget()
	if !ok {
		s.rejoin(c)
		return
	}
	if s.probe(c, m) || s.probeThrough(c, m) {
		return
	}
	m.State = Suspect
	s.Merge([]Member{m})
}

// rejoin looks for the seeds when nobody of the own data centre is known.
func (s *Service) rejoin(c context.Context) {
	if len(s.Seeds) == 0 {
		return
	}
	c, cancel := context.WithTimeout(c, probeLimit)
	defer cancel()
	s.sync(c, s.Seeds[rand.IntN(len(s.Seeds))])
}

func (s *Service) probe(c context.Context, m Member) bool {
	c, cancel := context.WithTimeout(c, probeLimit)
	defer cancel()
	var a probe
	if err := s.calls.Call(c, m.Address, "member.probe", probe{From: s.self.Box, Digest: s.digest()}, &a); err != nil {
		return false
	}
	if a.From != m.Box {
		return false
	}
	if a.Digest != s.digest() {
		s.sync(c, m.Address)
	}
	return true
}

// probeThrough asks others to probe m.
func (s *Service) probeThrough(c context.Context, m Member) bool {
	c, cancel := context.WithTimeout(c, 2*probeLimit)
	defer cancel()
	ms := slices.Clone(s.Up(s.self.DataCentre))
	rand.Shuffle(len(ms), func(i, j int) { ms[i], ms[j] = ms[j], ms[i] })
	n := 0
	for _, h := range ms {
		if h.Box == s.self.Box || h.Box == m.Box || n == helpers {
			continue
		}
		n++
		var a probe
		if err := s.calls.Call(c, h.Address, "member.probe", probe{From: s.self.Box, Digest: s.digest(), Target: m.Address}, &a); err == nil && a.Target == m.Address {
			return true
		}
	}
	return false
}

func (s *Service) answerProbe(c context.Context, p probe) (probe, error) {
	a := probe{From: s.self.Box, Digest: s.digest()}
	if p.Target == "" {
		return a, nil
	}
	c, cancel := context.WithTimeout(c, probeLimit)
	defer cancel()
	if err := s.calls.Call(c, p.Target, "member.probe", probe{From: s.self.Box}, &probe{}); err == nil {
		a.Target = p.Target
	}
	return a, nil
}

func (s *Service) sync(c context.Context, address string) {
	var t exchange
	if err := s.calls.Call(c, address, "member.sync", s.exchange(), &t); err == nil {
		s.take(t)
	}
}

func (s *Service) answerSync(_ context.Context, t exchange) (exchange, error) {
	s.take(t)
	return s.exchange(), nil
}

func (s *Service) exchange() exchange {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := exchange{Rows: s.table.Rows(), Left: make(map[string]string, len(s.left))}
	for from, n := range s.left {
		t.Left[from] = n.to
	}
	return t
}

func (s *Service) take(t exchange) {
	s.mu.Lock()
	for from, to := range t.Left {
		if _, known := s.left[from]; !known {
			s.left[from] = succession{to: to, at: time.Now()}
		}
	}
	s.mu.Unlock()
	s.Merge(t.Rows)
}

// nextTarget goes round the members of the data centre in shuffled order.
func (s *Service) nextTarget() (Member, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for range 2 {
		for len(s.order) > 0 {
			b := s.order[0]
			s.order = s.order[1:]
			if m, ok := s.table.Get(b); ok && m.up() && b != s.self.Box {
				return m, true
			}
		}
		for _, m := range s.table.Up(s.self.DataCentre) {
			s.order = append(s.order, m.Box)
		}
		rand.Shuffle(len(s.order), func(i, j int) { s.order[i], s.order[j] = s.order[j], s.order[i] })
	}
	return Member{}, false
}

// expire turns suspects into dead and forgets those that are long gone.
func (s *Service) expire() {
	s.mu.Lock()
	var dead []Member
	for _, m := range s.table.Rows() {
		age := time.Since(s.since[m.Box])
		switch {
		case m.State == Suspect && age > suspectFor:
			m.State = Dead
			dead = append(dead, m)
		case !m.up() && age > forgetAfter:
			s.table.Forget(m.Box)
			delete(s.since, m.Box)
		}
	}
	maps.DeleteFunc(s.left, func(_ string, n succession) bool { return time.Since(n.at) > forgetAfter })
	s.mu.Unlock()
	s.Merge(dead)
}

// relay exchanges tables with one member of each other data centre, if this box
// is one of its data centre's relays.
func (s *Service) relay(c context.Context) {
	if mine, _ := s.Owner("relay", relays); !mine {
		return
	}
	by := map[string][]Member{}
	for _, m := range s.Up("") {
		by[m.DataCentre] = append(by[m.DataCentre], m)
	}
	delete(by, s.self.DataCentre)
	c, cancel := context.WithTimeout(c, relayEvery)
	defer cancel()
	var g sync.WaitGroup
	for _, ms := range by {
		m := ms[rand.IntN(len(ms))]
		g.Go(func() { s.probe(c, m) })
	}
	g.Go(func() { s.rejoin(c) })
	g.Wait()
}
