package lab

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"birchlink.dev/birchlink/cloud"
	"birchlink.dev/birchlink/config"
	"birchlink.dev/birchlink/fleet"
	"birchlink.dev/birchlink/iniread"
	"birchlink.dev/birchlink/operator"
)

// Up starts the platform, the endpoints and the entry boxes, and puts the
// configuration in force.
func (l *Lab) Up(c context.Context) error {
	if err := l.upPlatform(); err != nil {
		return err
	}
	if err := l.upEntries(); err != nil {
		return err
	}
	return l.Configure(c, 0, l.Options.Config)
}

func (l *Lab) upPlatform() error {
	if _, err := l.Stand("kv", "platform", "", "kv"); err != nil {
		return err
	}
	w, err := l.Stand("weights", "platform", "", "weights")
	if err != nil {
		return err
	}
	bs, ps, err := l.upEndpoints(w.Address)
	if err != nil {
		return err
	}
	bf, pf := filepath.Join(l.Dir, "boxes.json"), filepath.Join(l.Dir, "prices.json")
	if err := writeJSON(bf, bs); err != nil {
		return err
	}
	if err := writeJSON(pf, ps); err != nil {
		return err
	}
	cl, err := l.Stand("cloud", "platform", "", "cloud", "--boxes", bf, "--prices", pf)
	if err != nil {
		return err
	}
	_, err = l.Stand("boxlist", "platform", "", "boxlist", "--cloud", cl.Address, "--lag", l.Options.BoxListLag.String())
	return err
}

// upEndpoints starts the engines and services, and lists them with the entry
// boxes that will come.
func (l *Lab) upEndpoints(weights string) ([]fleet.Box, []cloud.Price, error) {
	var bs []fleet.Box
	var ps []cloud.Price
	for i, dc := range l.Options.DataCentres {
		for n, e := range l.Options.Engines {
			b, err := l.engine(dc, fmt.Sprintf("%s-engine-%d", dc, n+1), e, weights)
			if err != nil {
				return nil, nil, err
			}
			bs = append(bs, b)
			ps = addPrice(ps, b, i)
		}
		for _, s := range l.Options.Services {
			p, err := l.Stand(dc+"-"+s, "service", dc, "service", "--name", s, "--audit-file", l.auditFile(dc+"-"+s))
			if err != nil {
				return nil, nil, err
			}
			bs = append(bs, fleet.Box{Name: p.Name, DataCentre: dc, Address: p.Address, Role: fleet.ServiceRole, Service: s, Class: "small", State: fleet.Live})
		}
		for n := range l.Options.Entries {
			bs = append(bs, fleet.Box{Name: entryName(dc, n), DataCentre: dc, Role: fleet.EntryRole, Class: "entry", State: fleet.Live})
		}
	}
	return bs, ps, nil
}

func (l *Lab) engine(dc, name string, e EngineKind, weights string) (fleet.Box, error) {
	every := l.Options.TokenEvery * time.Duration(max(e.Slower, 1))
	args := []string{"--name", name, "--slots", fmt.Sprint(e.Slots), "--token-every", every.String(), "--weights", weights, "--audit-file", l.auditFile(name)}
	for _, w := range e.Loaded {
		args = append(args, "--loaded", w)
	}
	if e.NoFence {
		args = append(args, "--no-fence")
	}
	b := fleet.Box{Name: name, DataCentre: dc, Role: fleet.EngineRole, Class: e.Class, Reclaimable: e.Reclaimable, State: fleet.Live}
	if e.Stopped {
		b.State = fleet.Stopped
	}
	p, err := l.Stand(name, "engine", dc, "engine", args...)
	if err != nil {
		return b, err
	}
	b.Address = p.Address
	return b, nil
}

// addPrice prices a kind of box: old hardware and later data centres cost less,
// reclaimable boxes a third.
func addPrice(ps []cloud.Price, b fleet.Box, dc int) []cloud.Price {
	p := cloud.Price{DataCentre: b.DataCentre, Class: b.Class, Reclaimable: b.Reclaimable, PerHour: 3 - 0.2*float64(dc)}
	if b.Class == "old" {
		p.PerHour /= 2
	}
	if b.Reclaimable {
		p.PerHour /= 3
	}
	for i, q := range ps {
		if q.DataCentre == p.DataCentre && q.Class == p.Class && q.Reclaimable == p.Reclaimable {
			if b.State == fleet.Stopped {
				ps[i].Supply++
			}
			return ps
		}
	}
	if b.State == fleet.Stopped {
		p.Supply = 1
	}
	return append(ps, p)
}

func entryName(dc string, n int) string { return fmt.Sprintf("%s-entry-%d", dc, n+1) }

// upEntries prepares every entry box, so that each knows the others, and starts
// them together.
func (l *Lab) upEntries() error {
	var ps []*Process
	var seeds []string
	for _, dc := range l.Options.DataCentres {
		for n := range l.Options.Entries {
			p, err := l.prepare(entryName(dc, n), dc)
			if err != nil {
				return err
			}
			ps = append(ps, p)
			seeds = append(seeds, p.link.address())
		}
	}
	for _, p := range ps {
		if err := l.writeSettings(p, seeds); err != nil {
			return err
		}
	}
	errs := make(chan error, len(ps))
	for _, p := range ps {
		go func() { errs <- l.start(p, "http://"+p.Admin+"/live") }()
	}
	var first error
	for range ps {
		if err := <-errs; err != nil && first == nil {
			first = err
		}
	}
	return first
}

func (l *Lab) prepare(name, dc string) (*Process, error) {
	p := &Process{Name: name, Role: "entry", DataCentre: dc, ip: l.ip(), Log: filepath.Join(l.Dir, name+".log")}
	// A box calls its peers from its own IP number, so callers and operators are
	// served on others: a call's own port cannot be one of theirs.
	for a, ip := range map[*string]string{&p.Address: l.ip(), &p.Peers: p.ip, &p.Admin: l.ip()} {
		var err error
		if *a, err = l.address(ip); err != nil {
			return nil, err
		}
	}
	k, err := newLink(l.ip(), p.Peers)
	p.link = k
	p.args = []string{"birchlinkd", filepath.Join(l.Dir, name+".ini")}
	return p, err
}

func (l *Lab) writeSettings(p *Process, seeds []string) error {
	o := l.Options
	at := func(n string) string { return l.procs[n].Address }
	t := fmt.Sprintf(`[box]
name = %s
data_centre = %s
[listen]
callers = %s
peers = %s
admin = %s
[platform]
kv = %s
box_list = %s
cloud = %s
writes_per_second = 50
reads_per_second = 50
[peers]
seeds = %s
advertise = %s
secret = %s
[operator]
key = %s
[stop]
notice = %v
limit = %v
[routing]
policy = %s
`, p.Name, p.DataCentre, p.Address, p.Peers, p.Admin, at("kv"), at("boxlist"), at("cloud"),
		strings.Join(seeds, ", "), p.link.address(), secret, OperatorKey, o.StopNotice, o.StopLimit, o.Policy)
	if err := os.WriteFile(p.args[1], []byte(t), 0o600); err != nil {
		return fmt.Errorf("write settings: %w", err)
	}
	return nil
}

// Configure puts a configuration in force and waits until every entry box that
// runs has it.
func (l *Lab) Configure(c context.Context, base uint64, text string) error {
	e := l.All("entry")
	if err := l.Admin(c, e[0].Name, http.MethodPut, "/operator/config", operator.Edit{Base: base, Text: text, Editor: "lab"}, nil); err != nil {
		return fmt.Errorf("put configuration: %w", err)
	}
	for _, p := range e {
		if err := l.Await(c, p.Name, func(s operator.Status) bool { return s.Version > base }); err != nil {
			return err
		}
	}
	return nil
}

// AwaitLoaded waits until every configured workload is loaded somewhere in
// every data centre, as its entry boxes see it.
func (l *Lab) AwaitLoaded(c context.Context) error {
	d, ms := config.Parse(1, []byte(l.Options.Config))
	if len(ms) > 0 {
		return iniread.Join(ms)
	}
	for _, p := range l.All("entry") {
		err := l.Await(c, p.Name, func(s operator.Status) bool {
			for _, w := range d.Workloads() {
				if !slices.ContainsFunc(s.Endpoints, func(e fleet.Endpoint) bool { return e.DataCentre == p.DataCentre && e.Usable() && e.Serves(w) }) {
					return false
				}
			}
			return true
		})
		if err != nil {
			return err
		}
	}
	return nil
}
