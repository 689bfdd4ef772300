package compare

import (
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"strings"
	"text/tabwriter"

	"birchlink.dev/birchlink/admission"
	"birchlink.dev/birchlink/placement"
	"birchlink.dev/birchlink/router"
)

// PolicySet is a named set of policies. Transfers reports whether streams of reclaimed boxes may move
// with their KV cache, and Reserve whether slots are reserved for urgent requests.
type PolicySet struct {
	Name      string
	Planner   placement.Planner
	Router    func(*state) router.Policy
	Transfers bool
	Reserve   bool
}

// PolicySets returns the default policies first, followed by one set for each baseline, which replaces
// one of the default policies.
func PolicySets() []PolicySet {
	affinity := func(s *state) router.Policy {
		return router.Affinity{LoadBound: s.document.Targets.LoadBound, RecomputeWeight: s.document.Targets.RecomputeWeight}
	}
	leastLoaded := func(*state) router.Policy { return router.LeastLoaded{} }
	roundRobin := func(*state) router.Policy { return &router.RoundRobin{} }
	random := func(*state) router.Policy { return router.Random{Int: rand.New(rand.NewPCG(5, 5)).IntN} }
	return []PolicySet{
		{"chosen", placement.Sticky{}, affinity, true, true},
		{"least loaded", placement.Sticky{}, leastLoaded, true, true},
		{"round robin", placement.Sticky{}, roundRobin, true, true},
		{"random", placement.Sticky{}, random, true, true},
		{"all on demand", placement.OnDemandOnly{}, affinity, true, true},
		{"place anew", placement.FromScratch{}, affinity, true, true},
		{"replay only", placement.Sticky{}, affinity, false, true},
		{"no reserve", placement.Sticky{}, affinity, true, false},
	}
}

// Run executes a script with each policy set, and prints a table for every step that makes decisions,
// with one row for each policy set.
func Run(w io.Writer, s Script) error {
	fmt.Fprintf(w, "== %s\n", s.Name)
	tables := map[int][]string{}
	var lines []int
	for _, c := range PolicySets() {
		r := &runner{policies: c, state: &state{classes: map[string]hardwareClass{}, demand: map[string]float64{}}}
		for _, p := range s.Steps {
			row, err := r.step(p)
			if err != nil {
				return fmt.Errorf("%s: %w", s.Name, err)
			}
			if row == "" {
				continue
			}
			if tables[p.Line] == nil {
				lines = append(lines, p.Line)
			}
			tables[p.Line] = append(tables[p.Line], c.Name+"\t"+row)
		}
	}
	slices.Sort(lines)
	for _, l := range lines {
		i := slices.IndexFunc(s.Steps, func(p Step) bool { return p.Line == l })
		if err := printTable(w, s.Steps[i], tables[l]); err != nil {
			return err
		}
	}
	return nil
}

// tableHeaders holds the header of the table of each command.
var tableHeaders = map[string]string{
	"place":    "policy\tboxes\treclaimable\tcost/hour\tcost/1000 answers\tloads\trounds\tunmet\t",
	"requests": "policy\tsent\tcache hits\tprompt tokens computed\tfirst token p95\twithin target\tworst load\trefused\t",
	"notice":   "policy\tstreams\tfinish\ttransfer\treplay\ttokens to recompute\tload after\t",
}

func printTable(w io.Writer, p Step, rows []string) error {
	fmt.Fprintf(w, "\nline %d: %s %s\n", p.Line, p.Command, strings.Join(p.Args, " "))
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, tableHeaders[p.Command])
	for _, r := range rows {
		fmt.Fprintln(t, r+"\t")
	}
	if err := t.Flush(); err != nil {
		return fmt.Errorf("print table: %w", err)
	}
	return nil
}

// runner executes one script with one policy set.
type runner struct {
	policies    PolicySet
	state       *state
	traffic     traffic
	lastRouting routingResult
}

// step executes one step and returns its table row, which is empty if the command makes no decisions.
func (r *runner) step(p Step) (string, error) {
	s := r.state
	switch p.Command {
	case "config":
		d, err := p.document()
		s.document = d
		return "", err
	case "class":
		return "", r.class(p)
	case "price":
		q, err := p.price()
		s.setPrice(q)
		return "", err
	case "demand":
		w, err := p.arg(0)
		if err != nil {
			return "", err
		}
		s.demand[w], err = p.number("streams")
		return "", err
	case "place":
		return r.place(), nil
	case "requests":
		return r.requests(p)
	case "notice":
		return r.notice(p)
	default:
		return "", fmt.Errorf("line %d: unknown command %q", p.Line, p.Command)
	}
}

func (r *runner) class(p Step) error {
	n, err := p.arg(0)
	if err != nil {
		return err
	}
	var slots, speed, cache float64
	if err := p.numbers(map[string]*float64{"slots": &slots, "speed": &speed, "cache": &cache}); err != nil {
		return err
	}
	r.state.classes[n] = hardwareClass{Class: placement.Class{Slots: int(slots), TokensPerSecond: speed}, CacheSize: int(cache)}
	return nil
}

func (r *runner) place() string {
	const tokens = 128
	v := r.state.place(r.policies.Planner)
	answers := r.state.answersPerHour(tokens)
	return fmt.Sprintf("%d\t%d\t%.2f\t%.4f\t%d\t%d\t%d", v.boxes, v.reclaimable, v.cost, v.cost*1000/max(answers, 1), v.loads, v.rounds, v.unmetWorkloads)
}

func (r *runner) requests(p Step) (string, error) {
	o := &r.traffic
	err := p.numbers(map[string]*float64{
		"count": &o.count, "hold": &o.hold, "prefixes": &o.prefixes, "prompt": &o.prompt, "tokens": &o.tokens, "seed": &o.seed,
	})
	if err != nil {
		return "", err
	}
	reserve := r.state.document.Targets.UrgentReserve
	if !r.policies.Reserve {
		reserve = 0
	}
	for _, e := range r.state.engines {
		e.busySlots = 0
	}
	v := r.state.route(*o, r.policies.Router(r.state), reserve)
	r.lastRouting = v
	return fmt.Sprintf("%d\t%.1f%%\t%d\t%v\t%.1f%%\t%.2f\t%s", v.sent, 100*float64(v.cacheHits)/float64(max(v.sent, 1)), v.computedTokens,
		v.p95().Round(100_000), 100*v.shareWithin(r.state.document.Targets.FirstToken), v.peakLoad, formatRefusals(v.refused)), nil
}

func formatRefusals(m map[admission.Kind]int) string {
	var b []string
	for _, k := range admission.Kinds() {
		if m[k] > 0 {
			b = append(b, fmt.Sprintf("%s %d", k, m[k]))
		}
	}
	if len(b) == 0 {
		return "none"
	}
	return strings.Join(b, ", ")
}

func (r *runner) notice(p Step) (string, error) {
	dc, err := p.arg(0)
	if err != nil {
		return "", err
	}
	d, err := p.duration(1)
	if err != nil {
		return "", err
	}
	v := r.state.simulateReclaim(dc, d, r.lastRouting.active, r.policies.Transfers, uint64(r.traffic.seed))
	return fmt.Sprintf("%d\t%d\t%d\t%d\t%d\t%.2f", v.streams, v.finished, v.transferred, v.replayed, v.recomputedTokens, v.loadAfter), nil
}
