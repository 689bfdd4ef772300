// Command birchsoak runs boxes under injected faults, whose schedule is drawn from a seed, and reports
// violated guarantees. It exits with 1 if there are any and with 2 if a run cannot be set up.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/alexflint/go-arg"

	"birchlink.dev/birchlink/soak"
)

type arguments struct {
	Seed     uint64        `arg:"--seed" default:"1" help:"the first seed"`
	Seeds    int           `arg:"--seeds" default:"1" help:"how many seeds to play, one after the other"`
	For      time.Duration `arg:"--for" default:"10s" help:"how long faults are injected"`
	Boxes    int           `arg:"--boxes" default:"5"`
	Servers  int           `arg:"--servers" default:"6"`
	Callers  int           `arg:"--callers" default:"24"`
	Program  string        `arg:"--program" default:"bin/birchlinkd" help:"the daemon to run"`
	Keep     string        `arg:"--keep" help:"a folder for the logs of seeds that broke something"`
	Only     []soak.Kind   `arg:"--only" help:"kinds of faults to inject, such as hush, storm, configuration and drain; all by default"`
	Moves    string        `arg:"--moves" default:"odd" help:"seeds whose servers can move runs: odd, all or none"`
	First    string        `arg:"--first-start" default:"once" help:"which processes of boxes are told that the fleet starts for the first time: never, once or always"`
	Quiet    bool          `arg:"--quiet" help:"do not print the faults as they are injected"`
	PassOver bool          `arg:"--pass-over-given-up" help:"count streams that boxes give up at leaving servers and do not report them, see KNOWN-RED.txt"`
}

// Description returns the first lines of the help text.
func (arguments) Description() string {
	return "birchsoak runs boxes as real processes, injects faults drawn from a seed, and checks the promises.\n" +
		"Example: birchsoak --seed 7 --seeds 50 --for 20s"
}

func main() {
	var a arguments
	arg.MustParse(&a)
	broken := 0
	for i := range a.Seeds {
		n, err := runSeed(a, a.Seed+uint64(i))
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(2)
		}
		broken += n
	}
	if broken > 0 {
		fmt.Println(broken, "broken promises")
		os.Exit(1)
	}
}

// runSeed runs one seed, prints its violations and returns their number.
func runSeed(a arguments, seed uint64) (int, error) {
	dir, err := os.MkdirTemp("", "birchsoak")
	if err != nil {
		return 0, fmt.Errorf("make a folder: %w", err)
	}
	defer func() {
		if err := os.RemoveAll(dir); err != nil {
			fmt.Fprintln(os.Stderr, err)
		}
	}()
	out := io.Writer(os.Stdout)
	if a.Quiet {
		out = io.Discard
	}
	faults, err := soak.Run(context.Background(), soak.Options{
		Seed: seed, Duration: a.For, Boxes: a.Boxes, Servers: a.Servers, Callers: a.Callers, Dir: dir, Program: a.Program, Out: out, Only: a.Only, PassOverGivenUp: a.PassOver,
		FirstStart: soak.FirstStart(a.First),
		Moves:      a.Moves == "all" || a.Moves == "odd" && seed%2 == 1,
	})
	if err != nil {
		return 0, errors.Join(err, keep(a, seed, dir))
	}
	fmt.Printf("seed %d: %d broken\n", seed, len(faults))
	for _, f := range faults {
		fmt.Println("  ", f)
	}
	if len(faults) > 0 {
		return len(faults), keep(a, seed, dir)
	}
	return len(faults), nil
}

// keep copies the logs of a seed to the folder for them, if there is one.
func keep(a arguments, seed uint64, dir string) error {
	if a.Keep == "" {
		return nil
	}
	return os.CopyFS(filepath.Join(a.Keep, fmt.Sprint("seed-", seed)), os.DirFS(dir))
}
