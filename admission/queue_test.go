package admission_test

import (
	"cmp"
	"slices"
	"time"

	"birchlink.dev/birchlink/accuracy"
	"birchlink.dev/birchlink/admission"
	"birchlink.dev/birchlink/balance"
	"birchlink.dev/birchlink/call"
	"birchlink.dev/birchlink/endpoint"
)

// event is a function to call at a time.
type event struct {
	at time.Duration
	do func()
}

// job is a request, or one attempt of it at an engine.
type job struct {
	kind     *kind
	parts    []call.Part
	arrived  time.Duration
	deadline time.Duration
	retried  bool // by the caller

	rank    int
	box     *box
	choice  balance.Choice
	attempt *balance.Attempt
	sent    time.Duration
	lost    bool // the deadline check refused the request, but it was sent
	ended   bool
}

// box is an entry box with its own view of the load.
type box struct {
	balancer balance.Balancer
	tracker  accuracy.Tracker
}

// engine serves requests in the order of their ranks: first they wait for a slot, then for their
// prefill, of which one takes place at a time.
type engine struct {
	endpoint endpoint.Endpoint
	speed    float64
	waiting  []*job
	unread   []*job // have a slot and wait for their prefill
	running  int
	busy     bool
	cached   map[string]bool
}

// next removes the job with the lowest rank, the earliest among equals.
func next(q *[]*job) *job {
	best := 0
	for i, j := range *q {
		if j.rank < (*q)[best].rank {
			best = i
		}
	}
	j := (*q)[best]
	*q = slices.Delete(*q, best, best+1)
	return j
}

// enqueue adds an attempt, and reports whether there is a place for it.
func (p *replay) enqueue(e *engine, j *job) bool {
	e.waiting = slices.DeleteFunc(e.waiting, func(o *job) bool { return o.ended })
	if len(e.waiting) >= p.places {
		return false
	}
	e.waiting = append(e.waiting, j)
	p.work(e)
	return true
}

// work lets the engine begin what it can.
func (p *replay) work(e *engine) {
	for e.running < e.endpoint.Slots && len(e.waiting) > 0 {
		j := next(&e.waiting)
		e.running++
		e.unread = append(e.unread, j)
	}
	for !e.busy && len(e.unread) > 0 {
		j := next(&e.unread)
		if j.ended {
			e.running--
			continue
		}
		e.busy = true
		tokens := 0
		for _, t := range j.parts {
			if !e.cached[t.ID] {
				tokens += t.Tokens
			}
		}
		e.cached[j.parts[0].ID] = true
		p.after(time.Duration(float64(tokens)/p.tokensPerMs*e.speed*float64(time.Millisecond)), func() {
			e.busy = false
			p.decode(e, j)
			p.work(e)
		})
	}
}

// decode sends the events of an answer.
func (p *replay) decode(e *engine, j *job) {
	step := time.Duration(float64(p.step) * e.speed)
	p.after(step, func() {
		if !j.ended {
			p.firstEvent(j)
		}
	})
	p.after(time.Duration(j.kind.events)*step, func() {
		e.running--
		if !j.ended {
			p.end(j, true)
		}
		p.work(e)
	})
}

// policy is the decision that a replay runs with.
type policy struct {
	check bool
	rank  func(j *job, slack time.Duration) int
}

// send decides on an attempt and carries the decision out.
func (p *replay) send(j *job) {
	b := p.boxes[p.rand.IntN(len(p.boxes))]
	q := balance.Query{Engine: true, Objective: j.kind.objective, Parts: j.parts, SharedParts: 1}
	for _, t := range j.parts {
		q.Prompt += t.Tokens
	}
	now := p.time(p.now)
	c, _ := b.balancer.Choose(p.serving, q, now)
	j.rank = p.policy.rank(&job{kind: j.kind, choice: c}, j.kind.objective-(p.now-j.arrived)-predict(b, c.Tokens, now))
	lost := false
	if p.decide(b, j, c, now).Refused() {
		q.Fastest = true
		fastest, _ := b.balancer.Choose(p.serving, q, now)
		d := p.decide(b, j, fastest, now)
		if lost = d.Refused(); lost && p.policy.check {
			p.refuse(j, d.RetryAfter)
			return
		}
		if p.policy.check {
			c = fastest
		}
	}
	a := &job{kind: j.kind, parts: j.parts, arrived: j.arrived, deadline: j.deadline, rank: j.rank, box: b, choice: c, sent: p.now, lost: lost}
	a.attempt = b.balancer.Begin(c.Endpoint, c, now)
	for _, o := range p.boxes {
		if o != b && b.balancer.HintScope("s", c.Tokens, now) != balance.HintNone {
			o.balancer.AddHint(c.Endpoint, c.Tokens, now)
		}
	}
	if !p.enqueue(p.engines[c.Endpoint.ID], a) {
		a.attempt.RecordRefusal(now)
		a.attempt.End(true, now)
		p.refuse(j, time.Second)
		return
	}
	p.at(j.deadline, func() {
		if !a.ended {
			p.end(a, false)
		}
	})
}

func predict(b *box, tokens int, now time.Time) time.Duration {
	v := b.balancer.Model("s").Predict(now)
	return v.PrefillTime(tokens)
}

func (p *replay) decide(b *box, j *job, c balance.Choice, now time.Time) admission.Decision {
	ratio, samples := b.tracker.Quantile(key(j), admission.OptimisticQuantile, now)
	return admission.Decide(admission.Input{
		Expected: c.Expected, Left: j.deadline - p.now, LoadAge: c.LoadAge, Ratio: ratio, Samples: samples, Random: p.rand.Float64(),
	})
}

// refuse tells the caller to return, which it does once: at the time told, but after a third of the
// time left at the latest.
func (p *replay) refuse(j *job, after time.Duration) {
	if j.retried {
		j.kind.count(j, &j.kind.refused, true)
		return
	}
	j.retried = true
	p.after(min(after, (j.deadline-p.now)/3), func() { p.send(j) })
}

func (p *replay) firstEvent(j *job) {
	now := p.time(p.now)
	j.attempt.RecordProgress(now)
	j.attempt.RecordAnswer()
	j.box.tracker.Observe(key(j), j.choice.Expected, p.now-j.sent, now)
	j.kind.count(j, &j.kind.inTime, p.now-j.arrived <= j.kind.objective)
}

func (p *replay) end(j *job, served bool) {
	j.ended = true
	if served {
		j.attempt.RecordProgress(p.time(p.now))
	} else {
		j.box.tracker.Observe(key(j), j.choice.Expected, p.now-j.sent, p.time(p.now))
	}
	j.attempt.End(!served, p.time(p.now))
	j.kind.count(j, &j.kind.served, served)
	j.kind.count(j, &j.kind.expired, !served)
	j.kind.count(j, &j.kind.lostExpired, j.lost && !served)
	j.kind.count(j, &j.kind.lostServed, j.lost && served)
}

// exchangeLoad tells each box the load of the others.
func (p *replay) exchangeLoad() {
	for _, b := range p.boxes {
		sum := map[string]balance.Load{}
		for _, o := range p.boxes {
			if o == b {
				continue
			}
			for id, l := range o.balancer.OwnLoad() {
				s := sum[id]
				sum[id] = balance.Load{Running: s.Running + l.Running, Tokens: s.Tokens + l.Tokens}
			}
		}
		b.balancer.SetRemoteLoad(sum, len(p.boxes)-1, p.time(p.now))
	}
	p.after(500*time.Millisecond, p.exchangeLoad)
}

func (p *replay) time(d time.Duration) time.Time { return time.Unix(0, 0).Add(d) }

func (p *replay) after(d time.Duration, do func()) { p.at(p.now+d, do) }

func (p *replay) at(t time.Duration, do func()) {
	i, _ := slices.BinarySearchFunc(p.events, t, func(e event, t time.Duration) int {
		return cmp.Or(cmp.Compare(e.at, t), -1) // after those at the same time
	})
	p.events = slices.Insert(p.events, i, event{t, do})
}

func key(j *job) accuracy.Key {
	return accuracy.Key{Service: "s", Route: j.kind.name}
}
