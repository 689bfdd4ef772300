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

// Choice is one set of policies under a name.
type Choice struct {
	Name      string
	Planner   placement.Planner
	Router    func(*state) router.Policy
	Transfers bool
	Reserve   bool
}

// Choices are the chosen policies first, then each baseline in the place of one
// of them.
func Choices() []Choice {
	chosen := func(s *state) router.Policy {
		return router.Affinity{LoadBound: s.document.Targets.LoadBound, RecomputeWeight: s.document.Targets.RecomputeWeight}
	}
	least := func(*state) router.Policy { return router.LeastLoaded{} }
	turn := func(*state) router.Policy { return &router.RoundRobin{} }
	anywhere := func(*state) router.Policy { return router.Random{Int: rand.New(rand.NewPCG(5, 5)).IntN} }
	return []Choice{
		{"chosen", placement.Sticky{}, chosen, true, true},
		{"least loaded", placement.Sticky{}, least, true, true},
		{"round robin", placement.Sticky{}, turn, true, true},
		{"random", placement.Sticky{}, anywhere, true, true},
		{"all on demand", placement.OnDemandOnly{}, chosen, true, true},
		{"place anew", placement.FromScratch{}, chosen, true, true},
		{"replay only", placement.Sticky{}, chosen, false, true},
		{"no reserve", placement.Sticky{}, chosen, true, false},
	}
}

// Run decides a script by each choice and prints a table for every step that
// decides something.
func Run(w io.Writer, s Script) error {
	fmt.Fprintf(w, "== %s\n", s.Name)
	tables := map[int][]string{}
	var heads []int
	for _, c := range Choices() {
		r := &runner{choice: c, state: &state{classes: map[string]class{}, demand: map[string]float64{}}}
		for _, p := range s.Steps {
			row, err := r.step(p)
			if err != nil {
				return fmt.Errorf("%s: %w", s.Name, err)
			}
			if row == "" {
				continue
			}
			if tables[p.Line] == nil {
				heads = append(heads, p.Line)
			}
			tables[p.Line] = append(tables[p.Line], c.Name+"\t"+row)
		}
	}
	slices.Sort(heads)
	for _, l := range heads {
		i := slices.IndexFunc(s.Steps, func(p Step) bool { return p.Line == l })
		if err := printTable(w, s.Steps[i], tables[l]); err != nil {
			return err
		}
	}
	return nil
}

// columns are the heads of each kind of table.
var columns = map[string]string{
	"place":    "policy\tboxes\treclaimable\tcost/hour\tcost/1000 answers\tloads\trounds\tunmet\t",
	"requests": "policy\tsent\tcache hits\tprompt tokens computed\tfirst token p95\twithin target\tworst load\trefused\t",
	"notice":   "policy\tstreams\tfinish\ttransfer\treplay\ttokens to recompute\tload after\t",
}

func printTable(w io.Writer, p Step, rows []string) error {
	fmt.Fprintf(w, "\nline %d: %s %s\n", p.Line, p.Word, strings.Join(p.Args, " "))
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, columns[p.Word])
	for _, r := range rows {
		fmt.Fprintln(t, r+"\t")
	}
	if err := t.Flush(); err != nil {
		return fmt.Errorf("print table: %w", err)
	}
	return nil
}

// runner decides one script by one choice.
type runner struct {
	choice Choice
	state  *state
	offer  offer
	last   routed
}

// step does one step, and returns the row of its table if it decides something.
func (r *runner) step(p Step) (string, error) {
	s := r.state
	switch p.Word {
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
		return "", fmt.Errorf("line %d: no step %q", p.Line, p.Word)
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
	r.state.classes[n] = class{Class: placement.Class{Slots: int(slots), TokensPerSecond: speed}, Cache: int(cache)}
	return nil
}

func (r *runner) place() string {
	const tokens = 128
	v := r.state.place(r.choice.Planner)
	answers := r.state.answersAnHour(tokens)
	return fmt.Sprintf("%d\t%d\t%.2f\t%.4f\t%d\t%d\t%d", v.boxes, v.spot, v.cost, v.cost*1000/max(answers, 1), v.loads, v.rounds, v.unmet)
}

func (r *runner) requests(p Step) (string, error) {
	o := &r.offer
	err := p.numbers(map[string]*float64{
		"count": &o.count, "hold": &o.hold, "prefixes": &o.prefixes, "prompt": &o.prompt, "tokens": &o.tokens, "seed": &o.seed,
	})
	if err != nil {
		return "", err
	}
	reserve := r.state.document.Targets.UrgentReserve
	if !r.choice.Reserve {
		reserve = 0
	}
	for _, e := range r.state.engines {
		e.busy = 0
	}
	v := r.state.route(*o, r.choice.Router(r.state), reserve)
	r.last = v
	return fmt.Sprintf("%d\t%.1f%%\t%d\t%v\t%.1f%%\t%.2f\t%s", v.sent, 100*float64(v.hits)/float64(max(v.sent, 1)), v.computed,
		v.p95().Round(100_000), 100*v.within(r.state.document.Targets.FirstToken), v.worst, refusals(v.refused)), nil
}

func refusals(m map[admission.Kind]int) string {
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
	v := r.state.wave(dc, d, r.last.running, r.choice.Transfers, uint64(r.offer.seed))
	return fmt.Sprintf("%d\t%d\t%d\t%d\t%d\t%.2f", v.streams, v.finish, v.transfer, v.replay, v.recompute, v.load), nil
}
