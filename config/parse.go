package config

import (
	"strings"
	"time"

	"birchlink.dev/birchlink/fleet"
	"birchlink.dev/birchlink/iniread"
)

// reservedLabels are the labels that come from the box list. Operators cannot set them.
var reservedLabels = []string{"box", "data_centre", "class", "supply"}

// Parse parses the text of a configuration. The document is valid only if no mistakes are returned.
func Parse(version uint64, text []byte) (*Document, []iniread.Mistake) {
	r := iniread.New(text)
	d := &Document{Version: version, Targets: parseTargets(r), Labels: map[string]map[string]string{}}
	for _, n := range r.Sections("account") {
		d.Accounts = append(d.Accounts, parseAccount(r, n))
	}
	for _, n := range r.Sections("model") {
		d.Models = append(d.Models, parseModel(r, n))
	}
	for _, n := range r.Sections("service") {
		d.Services = append(d.Services, Service{Name: n})
	}
	for _, n := range r.Sections("selector") {
		d.Selectors = append(d.Selectors, parseSelector(r, n))
	}
	for _, n := range r.Sections("box") {
		d.Labels[n] = parseLabels(r, n)
	}
	d.checkNames(r)
	return d, r.Finish()
}

func parseTargets(r *iniread.Reader) Targets {
	const s = "targets"
	return Targets{
		FirstToken:      r.Duration(s, "first_token", 1600*time.Millisecond, time.Millisecond, time.Minute),
		BetweenTokens:   r.Duration(s, "between_tokens", 45*time.Millisecond, time.Millisecond, time.Second),
		CostWeight:      r.Float(s, "cost_weight", 0.5, 0, 1),
		RecomputeWeight: r.Float(s, "recompute_weight", 0.5, 0, 1),
		UrgentReserve:   r.Float(s, "urgent_reserve", 0.2, 0, 0.9),
		LoadBound:       r.Float(s, "load_bound", 1.25, 1, 10),
	}
}

func parseAccount(r *iniread.Reader, n string) Account {
	s := sectionName("account", n)
	return Account{
		Name: n, Key: r.Required(s, "key"),
		Weight:            r.Float(s, "weight", 1, 0.01, 1000),
		RequestsPerSecond: r.Float(s, "requests_per_second", 100, 0.01, 100000),
		Kinds:             r.List(s, "kinds"),
	}
}

func parseModel(r *iniread.Reader, n string) Model {
	s := sectionName("model", n)
	m := Model{Name: n, Adapters: r.List(s, "adapters"), Versions: r.List(s, "versions"), Copies: r.Int(s, "copies", 2, 1, 10000)}
	if len(m.Versions) == 0 {
		r.AddMistake(s, "versions", "", "one version or more, separated by commas")
		m.Versions = []string{"1"}
	}
	if strings.ContainsAny(n, ":@*") {
		r.AddMistake(s, "", n, "a name without : @ *")
	}
	return m
}

func parseSelector(r *iniread.Reader, n string) Selector {
	s := sectionName("selector", n)
	l := Selector{Name: n, Workloads: r.List(s, "workloads"), Require: parseTerms(r, s, "require"), Prefer: parseTerms(r, s, "prefer")}
	if len(l.Workloads) == 0 {
		r.AddMistake(s, "workloads", "", "one workload or more, such as model@1 or model*")
	}
	return l
}

// parseTerms parses terms of the form "label=value|value, label=value".
func parseTerms(r *iniread.Reader, s, key string) []Term {
	var ts []Term
	for _, p := range r.List(s, key) {
		l, v, ok := strings.Cut(p, "=")
		if !ok || l == "" || v == "" {
			r.AddMistake(s, key, p, "label=value or label=value|value, separated by commas")
			continue
		}
		ts = append(ts, Term{Label: strings.TrimSpace(l), Values: strings.Split(strings.TrimSpace(v), "|")})
	}
	return ts
}

func parseLabels(r *iniread.Reader, n string) map[string]string {
	s := sectionName("box", n)
	m := map[string]string{}
	for _, k := range r.Keys(s) {
		m[k] = r.String(s, k, "")
	}
	for _, f := range reservedLabels {
		if v, ok := m[f]; ok {
			r.AddMistake(s, f, v, "a label of your own; this one comes from the box list")
		}
	}
	return m
}

func sectionName(kind, n string) string { return kind + ` "` + n + `"` }

func (d *Document) checkNames(r *iniread.Reader) {
	keys := map[string]string{}
	for _, a := range d.Accounts {
		if o, duplicate := keys[a.Key]; duplicate && a.Key != "" {
			r.AddMistake(sectionName("account", a.Name), "key", "…", "a key of its own; account "+o+" has the same")
		}
		keys[a.Key] = a.Name
	}
	known := d.Workloads()
	for _, s := range d.Services {
		known = append(known, s.Name)
	}
	for _, s := range d.Selectors {
		for _, w := range s.Workloads {
			if !coversAny(Selector{Workloads: []string{w}}, known) {
				r.AddMistake(sectionName("selector", s.Name), "workloads", w, "a workload of a configured model or service")
			}
		}
	}
}

func coversAny(s Selector, ws []string) bool {
	for _, w := range ws {
		if s.Covers(w) {
			return true
		}
	}
	return false
}

// CheckAgainst returns a mistake for each selector that matches no box, and for each workload that
// may run on no engine. Boxes that are gone do not count.
func (d *Document) CheckAgainst(boxes []fleet.Box) []iniread.Mistake {
	var r iniread.Reader
	for _, s := range d.Selectors {
		if !anyBox(boxes, func(b fleet.Box) bool { return s.Allows(d.WithLabels(b)) }) {
			r.AddMistake(sectionName("selector", s.Name), "require", "", "labels that at least one box has; no box matches")
		}
	}
	for _, w := range d.Workloads() {
		forbiddenBy := ""
		ok := anyBox(boxes, func(b fleet.Box) bool {
			allowed, selector := d.Allowed(w, d.WithLabels(b))
			if !allowed {
				forbiddenBy = selector
			}
			return allowed && b.Role == fleet.EngineRole
		})
		if !ok {
			r.AddMistake(sectionName("selector", forbiddenBy), "require", "", "leave workload "+w+" a box to run on")
		}
	}
	return r.Mistakes
}

func anyBox(bs []fleet.Box, match func(fleet.Box) bool) bool {
	for _, b := range bs {
		if b.State != fleet.Gone && match(b) {
			return true
		}
	}
	return false
}
