// Command birchload is a load generator. It sends a deployment's mix of requests to entry boxes and
// checks every answer.
package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/alexflint/go-arg"

	"birchlink.dev/birchlink/config"
	"birchlink.dev/birchlink/iniread"
	"birchlink.dev/birchlink/load"
)

type arguments struct {
	Boxes    []string      `arg:"--box,separate,required" help:"an entry box's address for callers"`
	Engines  []string      `arg:"--engine,separate" help:"an engine stand-in whose audit is read"`
	Services []string      `arg:"--service,separate" help:"a service stand-in whose audit is read"`
	Config   string        `arg:"required" help:"the configuration in force"`
	Mix      string        `default:"pamoja" help:"pamoja or freight"`
	Rate     float64       `default:"20" help:"requests a second"`
	Duration time.Duration `default:"20s"`
	Seed     uint64        `default:"1"`
	Settle   time.Duration `default:"500ms" help:"wait before the audits are read"`
}

// Description returns the first lines of the help text.
func (arguments) Description() string {
	return "birchload sends a deployment's mix and checks that every answer is whole, own and given once."
}

func main() {
	var a arguments
	arg.MustParse(&a)
	if err := run(a); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(a arguments) error {
	b, err := os.ReadFile(a.Config)
	if err != nil {
		return fmt.Errorf("read configuration: %w", err)
	}
	d, ms := config.Parse(1, b)
	if len(ms) > 0 {
		return iniread.Join(ms)
	}
	if _, ok := load.Mixes[a.Mix]; !ok {
		return fmt.Errorf("no mix %q", a.Mix)
	}
	var r load.Report
	c := context.Background()
	load.Run(c, load.Plan{Boxes: a.Boxes, Mix: a.Mix, Rate: a.Rate, Duration: a.Duration, Seed: a.Seed, Document: d}, &r)
	r.Print(os.Stdout)
	time.Sleep(a.Settle)
	return load.PrintVerdict(os.Stdout, &r, load.ReadAudit(c, a.Engines, a.Services))
}
