package config

import (
	"strings"
	"time"

	"birchlink.dev/birchlink/fleet"
	"birchlink.dev/birchlink/iniread"
)

// fixedLabels are facts of the box list, which operators cannot set.
var fixedLabels = []string{"box", "data_centre", "class", "supply"}

// Parse reads the operators' text. The document is usable only if there are no
// mistakes.
func Parse(version uint64, text []byte) (*Document, []iniread.Mistake) {
	r := iniread.New(text)
	d := &Document{Version: version, Targets: targets(r), Labels: map[string]map[string]string{}}
	for _, n := range r.Sections("account") {
		d.Accounts = append(d.Accounts, account(r, n))
	}
	for _, n := range r.Sections("model") {
		d.Models = append(d.Models, model(r, n))
	}
	for _, n := range r.Sections("service") {
		d.Services = append(d.Services, Service{Name: n})
	}
	for _, n := range r.Sections("selector") {
		d.Selectors = append(d.Selectors, selector(r, n))
	}
	for _, n := range r.Sections("box") {
		d.Labels[n] = labels(r, n)
	}
	d.checkNames(r)
	return d, r.Finish()
}

func targets(r *iniread.Reader) Targets {
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

func account(r *iniread.Reader, n string) Account {
	s := quote("account", n)
	return Account{
		Name: n, Key: r.Required(s, "key"),
		Weight:            r.Float(s, "weight", 1, 0.01, 1000),
		RequestsPerSecond: r.Float(s, "requests_per_second", 100, 0.01, 100000),
		Kinds:             r.List(s, "kinds"),
	}
}

func model(r *iniread.Reader, n string) Model {
	s := quote("model", n)
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

func selector(r *iniread.Reader, n string) Selector {
	s := quote("selector", n)
	l := Selector{Name: n, Workloads: r.List(s, "workloads"), Require: terms(r, s, "require"), Prefer: terms(r, s, "prefer")}
	if len(l.Workloads) == 0 {
		r.AddMistake(s, "workloads", "", "one workload or more, such as model@1 or model*")
	}
	return l
}

// terms reads "label=value|value, label=value".
func terms(r *iniread.Reader, s, key string) []Term {
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

func labels(r *iniread.Reader, n string) map[string]string {
	s := quote("box", n)
	m := map[string]string{}
	for _, k := range r.Keys(s) {
		m[k] = r.String(s, k, "")
	}
	for _, f := range fixedLabels {
		if v, ok := m[f]; ok {
			r.AddMistake(s, f, v, "a label of your own; this one comes from the box list")
		}
	}
	return m
}

func quote(kind, n string) string { return kind + ` "` + n + `"` }

func (d *Document) checkNames(r *iniread.Reader) {
	keys := map[string]string{}
	for _, a := range d.Accounts {
		if o, twice := keys[a.Key]; twice && a.Key != "" {
			r.AddMistake(quote("account", a.Name), "key", "…", "a key of its own; account "+o+" has the same")
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
				r.AddMistake(quote("selector", s.Name), "workloads", w, "a workload of a configured model or service")
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

// CheckAgainst reports selectors that match no box, and workloads that are left
// with none to run on.
func (d *Document) CheckAgainst(boxes []fleet.Box) []iniread.Mistake {
	var r iniread.Reader
	for _, s := range d.Selectors {
		if !anyBox(boxes, func(b fleet.Box) bool { return s.Allows(d.Label(b)) }) {
			r.AddMistake(quote("selector", s.Name), "require", "", "labels that at least one box has; no box matches")
		}
	}
	for _, w := range d.Workloads() {
		by := ""
		ok := anyBox(boxes, func(b fleet.Box) bool {
			may, who := d.Allowed(w, d.Label(b))
			if !may {
				by = who
			}
			return may && b.Role == fleet.EngineRole
		})
		if !ok {
			r.AddMistake(quote("selector", by), "require", "", "leave workload "+w+" a box to run on")
		}
	}
	return r.Mistakes
}

func anyBox(bs []fleet.Box, ok func(fleet.Box) bool) bool {
	for _, b := range bs {
		if b.State != fleet.Gone && ok(b) {
			return true
		}
	}
	return false
}
