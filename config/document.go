// Package config parses and represents the operators' configuration: a versioned document with
// accounts, models, plain services, selectors, box labels and targets.
package config

import (
	"slices"
	"strings"
	"time"

	"birchlink.dev/birchlink/fleet"
)

// Targets holds the latency targets of streams and the parameters of routing, placement and
// admission. FirstToken and BetweenTokens are the targets for the time to the first token and
// between tokens. CostWeight and RecomputeWeight weigh the price of boxes against the recomputation
// of lost work. UrgentReserve is the fraction of the admission limits that only urgent requests may
// use. LoadBound is the highest load of an endpoint that affinity routing allows, relative to the
// mean.
type Targets struct {
	FirstToken      time.Duration
	BetweenTokens   time.Duration
	CostWeight      float64
	RecomputeWeight float64
	UrgentReserve   float64
	LoadBound       float64
}

// Account is a customer with the bearer key Key. Its share of the capacity under contention grows
// with Weight.
type Account struct {
	Name              string
	Key               string
	Weight            float64
	RequestsPerSecond float64
	Kinds             []string
}

// Model is a language model with its adapters and versions. Copies is the number of endpoints that
// should have each of its workloads loaded.
type Model struct {
	Name     string
	Adapters []string
	Versions []string
	Copies   int
}

// Service is a plain service: one that serves HTTP requests without a model.
type Service struct {
	Name string
}

// Term is a condition that a label of a box has one of the given values.
type Term struct {
	Label  string
	Values []string
}

// Selector restricts and ranks the boxes for some workloads. A box must match all terms in Require,
// and one that matches more terms in Prefer is preferred. An element of Workloads that ends in "*"
// matches by prefix.
type Selector struct {
	Name      string
	Workloads []string
	Require   []Term
	Prefer    []Term
}

// Document is a version of the configuration. Labels holds the operators' labels by box and name.
type Document struct {
	Version   uint64
	Targets   Targets
	Accounts  []Account
	Models    []Model
	Services  []Service
	Selectors []Selector
	Labels    map[string]map[string]string
}

// Matches reports whether b satisfies the term.
func (t Term) Matches(b fleet.Box) bool { return slices.Contains(t.Values, b.Label(t.Label)) }

// Covers reports whether the selector applies to workload w.
func (s Selector) Covers(w string) bool {
	return slices.ContainsFunc(s.Workloads, func(p string) bool {
		prefix, isPattern := strings.CutSuffix(p, "*")
		return p == w || isPattern && strings.HasPrefix(w, prefix)
	})
}

// Allows reports whether b matches every required term.
func (s Selector) Allows(b fleet.Box) bool {
	return !slices.ContainsFunc(s.Require, func(t Term) bool { return !t.Matches(b) })
}

// Allowed reports whether workload w may run on b. If not, it also returns the name of the first
// selector that forbids it.
func (d *Document) Allowed(w string, b fleet.Box) (bool, string) {
	for _, s := range d.Selectors {
		if s.Covers(w) && !s.Allows(b) {
			return false, s.Name
		}
	}
	return true, ""
}

// Preference returns the fraction of the preferred terms for workload w that b matches, from 0 to 1.
// Without preferred terms it returns 1.
func (d *Document) Preference(w string, b fleet.Box) float64 {
	matched, total := 0, 0
	for _, s := range d.Selectors {
		if !s.Covers(w) {
			continue
		}
		for _, t := range s.Prefer {
			total++
			if t.Matches(b) {
				matched++
			}
		}
	}
	if total == 0 {
		return 1
	}
	return float64(matched) / float64(total)
}

// WithLabels returns b with the operators' labels.
func (d *Document) WithLabels(b fleet.Box) fleet.Box {
	b.Labels = d.Labels[b.Name]
	return b
}

// Workloads returns the canonical names of the workloads of all models, in the order of the text.
func (d *Document) Workloads() []string {
	var ws []string
	for _, m := range d.Models {
		ws = append(ws, m.Workloads()...)
	}
	return ws
}

// Workloads returns the canonical names of the workloads of m, `model[:adapter]@version`.
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

// Copies returns the number of endpoints that should have workload w loaded; 1 if its model is
// unknown.
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

// Resolve returns the canonical name of the workload that the model field of a request names, and
// whether it is configured. A field without a version selects the last version listed.
func (d *Document) Resolve(field string) (string, bool) {
	base, version, hasVersion := strings.Cut(field, "@")
	name, _, _ := strings.Cut(base, ":")
	for _, m := range d.Models {
		if m.Name != name {
			continue
		}
		if !hasVersion {
			version = m.Versions[len(m.Versions)-1]
		}
		w := base + "@" + version
		return w, slices.Contains(m.Workloads(), w)
	}
	return "", false
}

// HasService reports whether the plain service is configured.
func (d *Document) HasService(name string) bool {
	return slices.ContainsFunc(d.Services, func(s Service) bool { return s.Name == name })
}

// AccountByKey returns the account with the given bearer key. An empty key matches no account.
func (d *Document) AccountByKey(key string) (Account, bool) {
	i := slices.IndexFunc(d.Accounts, func(a Account) bool { return a.Key == key && key != "" })
	if i < 0 {
		return Account{}, false
	}
	return d.Accounts[i], true
}
