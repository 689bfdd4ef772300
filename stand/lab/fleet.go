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

// Start starts the stand-ins of the platform, the endpoints and the entry boxes, and applies the
// configuration.
func (l *Lab) Start(c context.Context) error {
	if err := l.startPlatform(); err != nil {
		return err
	}
	if err := l.startEntries(); err != nil {
		return err
	}
	return l.Configure(c, 0, l.Options.Config)
}

func (l *Lab) startPlatform() error {
	if _, err := l.StartStandIn("kv", "platform", "", "kv"); err != nil {
		return err
	}
	weights, err := l.StartStandIn("weights", "platform", "", "weights")
	if err != nil {
		return err
	}
	boxes, prices, err := l.startEndpoints(weights.Address)
	if err != nil {
		return err
	}
	boxFile, priceFile := filepath.Join(l.Dir, "boxes.json"), filepath.Join(l.Dir, "prices.json")
	if err := writeJSON(boxFile, boxes); err != nil {
		return err
	}
	if err := writeJSON(priceFile, prices); err != nil {
		return err
	}
	cloudAPI, err := l.StartStandIn("cloud", "platform", "", "cloud", "--boxes", boxFile, "--prices", priceFile)
	if err != nil {
		return err
	}
	_, err = l.StartStandIn("boxlist", "platform", "", "boxlist", "--cloud", cloudAPI.Address, "--lag", l.Options.BoxListLag.String())
	return err
}

// startEndpoints starts the engines and services. It returns their boxes and prices, together with
// the boxes of the entry boxes to be started later.
func (l *Lab) startEndpoints(weights string) ([]fleet.Box, []cloud.Price, error) {
	var bs []fleet.Box
	var ps []cloud.Price
	for i, dc := range l.Options.DataCentres {
		for n, e := range l.Options.Engines {
			b, err := l.startEngine(dc, fmt.Sprintf("%s-engine-%d", dc, n+1), e, weights)
			if err != nil {
				return nil, nil, err
			}
			bs = append(bs, b)
			ps = addPrice(ps, b, i)
		}
		for _, s := range l.Options.Services {
			p, err := l.StartStandIn(dc+"-"+s, "service", dc, "service", "--name", s, "--audit-file", l.auditFile(dc+"-"+s))
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

func (l *Lab) startEngine(dc, name string, e EngineSpec, weights string) (fleet.Box, error) {
	interval := l.Options.TokenInterval * time.Duration(max(e.Slowdown, 1))
	args := []string{
		"--name", name, "--slots", fmt.Sprint(e.Slots), "--token-every", interval.String(), "--weights", weights,
		"--audit-file", l.auditFile(name),
	}
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
	p, err := l.StartStandIn(name, "engine", dc, "engine", args...)
	if err != nil {
		return b, err
	}
	b.Address = p.Address
	return b, nil
}

// addPrice adds the price of the kind of box b to ps, or adds to its supply if b is stopped and the
// price exists. Old hardware costs half, a reclaimable box a third, and each further data centre 0.2
// less per hour.
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

// startEntries prepares every entry box, so that each has the addresses of the others as seeds, and
// starts them in parallel.
func (l *Lab) startEntries() error {
	var ps []*Process
	var seeds []string
	for _, dc := range l.Options.DataCentres {
		for n := range l.Options.Entries {
			p, err := l.prepareEntry(entryName(dc, n), dc)
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
		go func() { errs <- l.startProcess(p, "http://"+p.Admin+"/live") }()
	}
	var first error
	for range ps {
		if err := <-errs; err != nil && first == nil {
			first = err
		}
	}
	return first
}

func (l *Lab) prepareEntry(name, dc string) (*Process, error) {
	p := &Process{Name: name, Role: "entry", DataCentre: dc, ip: l.newIP(), Log: filepath.Join(l.Dir, name+".log")}
	// A box connects to its peers from its own IP address, so callers and operators are served on
	// other addresses. The local port of such a connection cannot collide with theirs.
	for addr, ip := range map[*string]string{&p.Address: l.newIP(), &p.Peers: p.ip, &p.Admin: l.newIP()} {
		var err error
		if *addr, err = l.freeAddress(ip); err != nil {
			return nil, err
		}
	}
	k, err := newLink(l.newIP(), p.Peers)
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
		strings.Join(seeds, ", "), p.link.address(), peerSecret, OperatorKey, o.StopNotice, o.StopLimit, o.Policy)
	if err := os.WriteFile(p.args[1], []byte(t), 0o600); err != nil {
		return fmt.Errorf("write settings: %w", err)
	}
	return nil
}

// Configure applies a configuration on top of version base, and waits until every entry box has a
// newer version than base.
func (l *Lab) Configure(c context.Context, base uint64, text string) error {
	entries := l.Processes("entry")
	if err := l.Admin(c, entries[0].Name, http.MethodPut, "/operator/config", operator.Edit{Base: base, Text: text, Editor: "lab"}, nil); err != nil {
		return fmt.Errorf("put configuration: %w", err)
	}
	for _, p := range entries {
		if err := l.AwaitStatus(c, p.Name, func(s operator.Status) bool { return s.Version > base }); err != nil {
			return err
		}
	}
	return nil
}

// AwaitLoaded waits until every entry box reports each configured workload as loaded on a usable
// endpoint of its data centre.
func (l *Lab) AwaitLoaded(c context.Context) error {
	d, ms := config.Parse(1, []byte(l.Options.Config))
	if len(ms) > 0 {
		return iniread.Join(ms)
	}
	for _, p := range l.Processes("entry") {
		err := l.AwaitStatus(c, p.Name, func(s operator.Status) bool {
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
