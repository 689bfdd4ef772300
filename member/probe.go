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

func (s *Service) runEvery(c context.Context, d time.Duration, f func(context.Context)) {
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

// join exchanges tables with the seeds and the boxes registered in the key-value
// service, and registers this box there.
func (s *Service) join(c context.Context) {
	c, cancel := context.WithTimeout(c, joinTimeout)
	defer cancel()
	addresses := slices.Clone(s.Seeds)
	if es, err := s.store.List(c, registrationPrefix); err == nil {
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
			g.Go(func() { s.syncWith(c, a) })
		}
	}
	g.Wait()
	s.register(c)
}

// register stores this box's row in the key-value service for boxes that start later.
func (s *Service) register(c context.Context) {
	k := registrationPrefix + s.self.Box
	e, err := s.store.Get(c, k)
	if err != nil {
		s.Log.Warn().Err(err).Msg("registration failed")
		return
	}
	b, err := msgpack.Marshal(s.Self())
	if err != nil {
		return
	}
	if _, err := s.store.Swap(c, kv.Entry{Key: k, Rev: e.Rev, Value: b}); err != nil {
		s.Log.Warn().Err(err).Msg("registration failed")
	}
}

// probeRound expires old suspicions and probes the next member.
func (s *Service) probeRound(c context.Context) {
	s.expireSuspects()
	m, ok := s.nextTarget()
	if !ok {
		s.syncWithSeed(c)
		return
	}
	if s.probe(c, m) || s.probeIndirectly(c, m) {
		return
	}
	m.State = Suspect
	s.Merge([]Member{m})
}

// syncWithSeed exchanges tables with a random seed.
func (s *Service) syncWithSeed(c context.Context) {
	if len(s.Seeds) == 0 {
		return
	}
	c, cancel := context.WithTimeout(c, probeTimeout)
	defer cancel()
	s.syncWith(c, s.Seeds[rand.IntN(len(s.Seeds))])
}

// probe reports whether m answers. It exchanges tables with m if the digests differ.
func (s *Service) probe(c context.Context, m Member) bool {
	c, cancel := context.WithTimeout(c, probeTimeout)
	defer cancel()
	var a probe
	if err := s.client.Call(c, m.Address, "member.probe", probe{From: s.self.Box, Digest: s.digest()}, &a); err != nil {
		return false
	}
	if a.From != m.Box {
		return false
	}
	if a.Digest != s.digest() {
		s.syncWith(c, m.Address)
	}
	return true
}

// probeIndirectly reports whether m answers a probe by one of up to maxIndirectProbes other
// members.
func (s *Service) probeIndirectly(c context.Context, m Member) bool {
	c, cancel := context.WithTimeout(c, 2*probeTimeout)
	defer cancel()
	ms := slices.Clone(s.Up(s.self.DataCentre))
	rand.Shuffle(len(ms), func(i, j int) { ms[i], ms[j] = ms[j], ms[i] })
	n := 0
	for _, h := range ms {
		if h.Box == s.self.Box || h.Box == m.Box || n == maxIndirectProbes {
			continue
		}
		n++
		var a probe
		if err := s.client.Call(
			c, h.Address, "member.probe", probe{From: s.self.Box, Digest: s.digest(), Target: m.Address}, &a,
		); err == nil && a.Target == m.Address {
			return true
		}
	}
	return false
}

func (s *Service) handleProbe(c context.Context, p probe) (probe, error) {
	a := probe{From: s.self.Box, Digest: s.digest()}
	if p.Target == "" {
		return a, nil
	}
	c, cancel := context.WithTimeout(c, probeTimeout)
	defer cancel()
	if err := s.client.Call(c, p.Target, "member.probe", probe{From: s.self.Box}, &probe{}); err == nil {
		a.Target = p.Target
	}
	return a, nil
}

func (s *Service) syncWith(c context.Context, address string) {
	var t syncMessage
	if err := s.client.Call(c, address, "member.sync", s.syncState(), &t); err == nil {
		s.mergeSync(t)
	}
}

func (s *Service) handleSync(_ context.Context, t syncMessage) (syncMessage, error) {
	s.mergeSync(t)
	return s.syncState(), nil
}

func (s *Service) syncState() syncMessage {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := syncMessage{Rows: s.table.Rows(), Successors: make(map[string]string, len(s.successors))}
	for from, n := range s.successors {
		t.Successors[from] = n.incarnation
	}
	return t
}

func (s *Service) mergeSync(t syncMessage) {
	s.mu.Lock()
	for from, to := range t.Successors {
		if _, known := s.successors[from]; !known {
			s.successors[from] = succession{incarnation: to, learned: time.Now()}
		}
	}
	s.mu.Unlock()
	s.Merge(t.Rows)
}

// nextTarget returns the next member of the data centre to probe. Each pass visits the members in
// a new random order.
func (s *Service) nextTarget() (Member, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for range 2 {
		for len(s.probeOrder) > 0 {
			b := s.probeOrder[0]
			s.probeOrder = s.probeOrder[1:]
			if m, ok := s.table.Get(b); ok && m.isUp() && b != s.self.Box {
				return m, true
			}
		}
		for _, m := range s.table.Up(s.self.DataCentre) {
			s.probeOrder = append(s.probeOrder, m.Box)
		}
		rand.Shuffle(len(s.probeOrder), func(i, j int) { s.probeOrder[i], s.probeOrder[j] = s.probeOrder[j], s.probeOrder[i] })
	}
	return Member{}, false
}

// expireSuspects marks members as dead that have been suspect for suspicionTimeout, and removes
// rows and successors after forgetAfter.
func (s *Service) expireSuspects() {
	s.mu.Lock()
	var dead []Member
	for _, m := range s.table.Rows() {
		age := time.Since(s.changedAt[m.Box])
		switch {
		case m.State == Suspect && age > suspicionTimeout:
			m.State = Dead
			dead = append(dead, m)
		case !m.isUp() && age > forgetAfter:
			s.table.Forget(m.Box)
			delete(s.changedAt, m.Box)
		}
	}
	maps.DeleteFunc(s.successors, func(_ string, n succession) bool { return time.Since(n.learned) > forgetAfter })
	s.mu.Unlock()
	s.Merge(dead)
}

// relayRound probes a random member of each other data centre, which exchanges the tables
// if they differ, and a random seed. It does nothing unless this box is a relay.
func (s *Service) relayRound(c context.Context) {
	if mine, _ := s.Owner("relay", relaysPerDataCentre); !mine {
		return
	}
	byDataCentre := map[string][]Member{}
	for _, m := range s.Up("") {
		byDataCentre[m.DataCentre] = append(byDataCentre[m.DataCentre], m)
	}
	delete(byDataCentre, s.self.DataCentre)
	c, cancel := context.WithTimeout(c, relayInterval)
	defer cancel()
	var g sync.WaitGroup
	for _, ms := range byDataCentre {
		m := ms[rand.IntN(len(ms))]
		g.Go(func() { s.probe(c, m) })
	}
	g.Go(func() { s.syncWithSeed(c) })
	g.Wait()
}
