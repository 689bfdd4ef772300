package quota

import (
	"math"
	"time"
)

// Class says how a request may use the reserve of its account. It is that of its route, so that the
// large requests of a route fare as its small ones.
type Class uint8

// The classes. Boxes that know no classes send and return ClassUnknown.
const (
	ClassUnknown Class = iota
	ClassUsual         // may not use the reserve
	ClassSmall         // may use the upper half of the reserve
	ClassBrief         // small, with callers that wait less than usual: may use all of the reserve
)

const (
	// smallBelow is the mean cost below which a route is small, as a share of the account's mean
	// cost. An account whose routes cost about the same has no small routes.
	smallBelow = 0.5

	// classHalfLife is the half-life of mean costs: long compared with the gaps between the requests
	// of one route at one relay.
	classHalfLife = 30 * time.Second

	// minClassified is the number of requests from which mean costs are used, and maxRoutes bounds
	// the routes with mean costs of their own. Requests of further routes are usual.
	minClassified = 10
	maxRoutes     = 64
)

// classes holds the decayed mean costs and waits of the routes of one account. Its zero value is
// empty.
type classes struct {
	routes    map[string]*means
	all       means
	decayedAt time.Time
}

// means holds decayed sums over requests.
type means struct {
	count, cost, wait float64
}

func (m *means) add(x Question) {
	m.count++
	m.cost += x.Size
	m.wait += x.Wait.Seconds()
}

func (m *means) scale(f float64) { m.count, m.cost, m.wait = m.count*f, m.cost*f, m.wait*f }

// add counts a request that is asked for the first time.
func (c *classes) add(x Question, now time.Time) {
	c.decay(now)
	r := c.routes[x.Route]
	if r == nil {
		if len(c.routes) >= maxRoutes {
			return
		}
		if c.routes == nil {
			c.routes = map[string]*means{}
		}
		r = &means{}
		c.routes[x.Route] = r
	}
	r.add(x)
	c.all.add(x)
}

// decay scales all sums once a second.
func (c *classes) decay(now time.Time) {
	d := now.Sub(c.decayedAt)
	if d < time.Second {
		return
	}
	f := math.Exp2(-float64(d) / float64(classHalfLife))
	c.decayedAt = now
	c.all.scale(f)
	for n, r := range c.routes {
		if r.scale(f); r.count < 0.01 {
			delete(c.routes, n)
		}
	}
}

// class returns the class of a route.
func (c *classes) class(route string) Class {
	r := c.routes[route]
	switch {
	case r == nil || c.all.count < minClassified || r.cost*c.all.count >= smallBelow*c.all.cost*r.count:
		return ClassUsual
	case r.wait*c.all.count < c.all.wait*r.count:
		return ClassBrief
	default:
		return ClassSmall
	}
}
