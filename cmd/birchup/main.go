// Command birchup starts a small fleet of real processes on loopback. It leaves the fleet running until
// it is interrupted or, with --run, sends load, reclaims boxes, checks the answers and stops.
package main

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"

	"birchlink.dev/birchlink/cloud"
	"birchlink.dev/birchlink/config"
	"birchlink.dev/birchlink/iniread"
	"birchlink.dev/birchlink/jsonhttp"
	"birchlink.dev/birchlink/load"
	standcloud "birchlink.dev/birchlink/stand/cloud"
	"birchlink.dev/birchlink/stand/lab"
)

type arguments struct {
	Run      bool          `arg:"--run" help:"send both mixes, reclaim in the middle, check, and stop"`
	Bin      string        `default:"bin" help:"where the programs are"`
	Config   string        `default:"examples/both.ini" help:"the configuration to put in force"`
	Policy   string        `default:"affinity" help:"the routing policy"`
	Mix      string        `help:"only this mix"`
	Rate     float64       `default:"20" help:"requests a second of each mix"`
	Duration time.Duration `default:"20s" help:"how long each mix is sent"`
	Seed     uint64        `default:"1"`
	Measure  bool          `arg:"--measure" help:"measure what control costs an idle entry box of one data centre, and stop"`
	Entries  int           `default:"6" help:"entry boxes, with --measure"`
	Engines  int           `default:"12" help:"engines, with --measure"`
	Wave     bool          `arg:"--wave" help:"reclaim a whole data centre's reclaimable boxes, not one box"`
}

// Description returns the first lines of the help text.
func (arguments) Description() string {
	return "birchup starts three data centres of real processes on loopback."
}

func main() {
	var a arguments
	arg.MustParse(&a)
	if err := run(a); err != nil {
		fmt.Fprintln(os.Stderr, "FAILED:", err)
		os.Exit(1)
	}
}

// options returns the options of a fleet of three data centres. Each has one on-demand engine, two
// reclaimable ones, of which the old one does not check fences, and a stopped reclaimable one.
func options(policy, text string) lab.Options {
	const slots, slower = 8, 2
	return lab.Options{
		DataCentres: []string{"kariakoo-hall", "msasani-hall", "ubungo-hall"}, Entries: 2,
		Engines: []lab.EngineSpec{
			{Class: "new", Slots: slots},
			{Class: "new", Slots: slots, Reclaimable: true},
			{Class: "old", Slots: slots, Reclaimable: true, Slowdown: slower, NoFence: true},
			{Class: "new", Slots: slots, Reclaimable: true, Stopped: true},
		},
		Services: []string{"matokeo-api", "yard-api"}, Config: text, Policy: policy,
		TokenInterval: 15 * time.Millisecond, BoxListLag: time.Second, StopNotice: time.Second, StopLimit: 20 * time.Second,
	}
}

func run(a arguments) error {
	c, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	text, err := os.ReadFile(a.Config)
	if err != nil {
		return fmt.Errorf("read configuration: %w", err)
	}
	d, ms := config.Parse(1, text)
	if len(ms) > 0 {
		return iniread.Join(ms)
	}
	dir, err := os.MkdirTemp("", "birchup")
	if err != nil {
		return fmt.Errorf("make a folder: %w", err)
	}
	l := lab.New(a.Bin, dir, options(a.Policy, string(text)))
	if a.Measure {
		l.Options = measuredOptions(l.Options, a)
	}
	defer l.Close()
	if err := l.Start(c); err != nil {
		return err
	}
	if a.Measure {
		return measure(c, l, a.Duration)
	}
	if a.Run {
		return runMixes(c, l, d, a)
	}
	printFleet(l, d)
	<-c.Done()
	return nil
}

// printFleet prints one line per process and the keys that callers and operators need.
func printFleet(l *lab.Lab, d *config.Document) {
	for _, p := range l.Processes("") {
		fmt.Printf("%-9s %-14s %-28s pid %-7d %s", p.Role, p.DataCentre, p.Name, p.PID(), p.Address)
		if p.Role == "entry" {
			fmt.Printf("  admin %s", p.Admin)
		}
		fmt.Println()
	}
	fmt.Printf("caller key: %s\noperators' key: %s\nlogs: %s\nstop with Ctrl-C\n",
		d.Accounts[0].Key, lab.OperatorKey, filepath.Dir(l.Processes("")[0].Log))
}

// runMixes sends the mixes one after the other, each with a reclaim in the middle.
func runMixes(c context.Context, l *lab.Lab, d *config.Document, a arguments) error {
	if err := l.AwaitLoaded(c); err != nil {
		return err
	}
	var es []error
	for i, m := range []string{"pamoja", "freight"} {
		if a.Mix != "" && a.Mix != m {
			continue
		}
		es = append(es, runMix(c, l, d, a, m, i))
	}
	return errors.Join(es...)
}

// runMix sends one mix to the fleet, gives a reclaim notice after half of the duration, and checks the
// answers against the audits.
func runMix(c context.Context, l *lab.Lab, d *config.Document, a arguments, mix string, n int) error {
	dc := l.Options.DataCentres[n]
	notice := cloud.Notice{Boxes: []string{dc + "-engine-2"}, In: 6 * time.Second}
	if a.Wave {
		notice = cloud.Notice{DataCentre: dc, In: 6 * time.Second}
	}
	t := time.AfterFunc(a.Duration/2, func() {
		fmt.Printf("reclaim notice: %v%s\n", notice.Boxes, notice.DataCentre)
		if err := l.SendNotice(c, notice); err != nil {
			fmt.Println("no notice:", err)
		}
	})
	defer t.Stop()
	fmt.Printf("mix %s: %g requests a second for %v\n", mix, a.Rate, a.Duration)
	before := readCloudAudit(c, l)
	var r load.Report
	load.Run(c, load.Plan{Boxes: addresses(l, "entry"), Mix: mix, Rate: a.Rate, Duration: a.Duration, Seed: a.Seed, Document: d}, &r)
	r.Print(os.Stdout)
	after := readCloudAudit(c, l)
	fmt.Printf("cost %.5f, per thousand answers %.4f\n", after.Cost-before.Cost, (after.Cost-before.Cost)*1000/float64(max(len(r.Outcomes), 1)))
	return load.PrintVerdict(os.Stdout, &r, load.ReadAudit(c, l.Audits("engine"), l.Audits("service")))
}

// readCloudAudit returns the audit of the cloud stand-in, or a zero audit if it cannot be read.
func readCloudAudit(c context.Context, l *lab.Lab) standcloud.Audit {
	var v standcloud.Audit
	p, err := l.Get("cloud")
	if err == nil {
		err = jsonhttp.New(p.Address, "birchup", time.Second).Do(c, http.MethodGet, "/audit", nil, &v)
	}
	if err != nil {
		fmt.Println("cost not read:", err)
	}
	return v
}

func addresses(l *lab.Lab, role string) []string {
	ps := l.Processes(role)
	as := make([]string, len(ps))
	for i, p := range ps {
		as[i] = p.Address
	}
	return as
}
