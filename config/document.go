// Package config holds the operators' configuration: one versioned document of
// accounts, models, services, selectors, labels and targets.
package config

import (
	"slices"
	"strings"
	"time"

	"birchlink.dev/birchlink/fleet"
)

// Targets are the latency target and the weights of the two measures.
type Targets struct {
	FirstToken      time.Duration
	BetweenTokens   time.Duration
	CostWeight      float64
	RecomputeWeight float64
	UrgentReserve   float64
	LoadBound       float64
}

// Account is one customer. Its share under contention grows with Weight.
type Account struct {
	Name              string
	Key               string
	Weight            float64
	RequestsPerSecond float64
	Kinds             []string
}

// Model is a language model with its adapters and versions. Copies is how many
// endpoints shall have each of its workloads loaded.
type Model struct {
	Name     string
	Adapters []string
	Versions []string
	Copies   int
}

// Service is a plain service.
type Service struct {
	Name string
}

// Term asks that a label has one of some values.
type Term struct {
	Label  string
	Values []string
}

// Selector says where workloads may run and where they would rather. Workloads
// ending in "*" match by prefix.
type Selector struct {
	Name      string
	Workloads []string
	Require   []Term
	Prefer    []Term
}

// Document is one version of the configuration.
type Document struct {
	Version   uint64
	Targets   Targets
	Accounts  []Account
	Models    []Model
	Services  []Service
	Selectors []Selector
	Labels    map[string]map[string]string
}

// Matches reports whether b meets the term.
func (t Term) Matches(b fleet.Box) bool { return slices.Contains(t.Values, b.Label(t.Label)) }

// Covers reports whether the selector speaks of workload w.
func (s Selector) Covers(w string) bool {
	return slices.ContainsFunc(s.Workloads, func(p string) bool {
		q, open := strings.CutSuffix(p, "*")
		return p == w || open && strings.HasPrefix(w, q)
	})
}

// Allows reports whether every requirement holds at b.
func (s Selector) Allows(b fleet.Box) bool {
	return !slices.ContainsFunc(s.Require, func(t Term) bool { return !t.Matches(b) })
}

// Allowed reports whether workload w may run on b; the second result names the
// selector that forbids it.
func (d *Document) Allowed(w string, b fleet.Box) (bool, string) {
	for _, s := range d.Selectors {
		if s.Covers(w) && !s.Allows(b) {
			return false, s.Name
		}
	}
	return true, ""
}

// Preference returns the share of preferences for workload w that b meets, from
// 0 to 1; without preferences it is 1.
func (d *Document) Preference(w string, b fleet.Box) float64 {
	met, all := 0, 0
	for _, s := range d.Selectors {
		if !s.Covers(w) {
			continue
		}
		for _, t := range s.Prefer {
			all++
			if t.Matches(b) {
				met++
			}
		}
	}
	if all == 0 {
		return 1
	}
	return float64(met) / float64(all)
}

// Label puts the operators' labels on a box.
func (d *Document) Label(b fleet.Box) fleet.Box {
	b.Labels = d.Labels[b.Name]
	return b
}

// Workloads returns the canonical names of all that engines can load, in order.
func (d *Document) Workloads() []string {
	var ws []string
	for _, m := range d.Models {
		ws = append(ws, m.Workloads()...)
	}
	return ws
}

// Workloads returns the canonical names `model[:adapter]@version` of m.
func (m Model) Workloads() []string {
	ws := make([]string, 0, len(m.Versions)*(1+len(m.Adapters)))
	for _, v := range m.Versions {
		ws = append(ws, m.Name+"@"+v)
		for _, a := range m.Adapters {
			ws = append(ws, m.Name+":"+a+"@"+v)
		}
	}
	return ws
}

// Copies returns how many copies of a workload its model asks for.
func (d *Document) Copies(w string) int {
	base, _, _ := strings.Cut(w, "@")
	name, _, _ := strings.Cut(base, ":")
	for _, m := range d.Models {
		if m.Name == name {
			return m.Copies
		}
	}
	return 1
}

// Resolve turns a caller's model field into a canonical workload. A field
// without a version means the last version listed.
func (d *Document) Resolve(field string) (string, bool) {
	base, version, given := strings.Cut(field, "@")
	name, _, _ := strings.Cut(base, ":")
	for _, m := range d.Models {
		if m.Name != name {
			continue
		}
		if !given {
			version = m.Versions[len(m.Versions)-1]
		}
		w := base + "@" + version
		return w, slices.Contains(m.Workloads(), w)
	}
	return "", false
}

// HasService reports whether a plain service is configured.
func (d *Document) HasService(name string) bool {
	return slices.ContainsFunc(d.Services, func(s Service) bool { return s.Name == name })
}

// ByKey returns the account of a bearer key.
func (d *Document) ByKey(key string) (Account, bool) {
	i := slices.IndexFunc(d.Accounts, func(a Account) bool { return a.Key == key && key != "" })
	if i < 0 {
		return Account{}, false
	}
	return d.Accounts[i], true
}
