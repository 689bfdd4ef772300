// Command birchcompare replays data files through the chosen policies and their baselines and prints
// the results as tables.
package main

import (
	"fmt"
	"os"

	"github.com/alexflint/go-arg"

	"birchlink.dev/birchlink/compare"
)

type arguments struct {
	Files []string `arg:"positional,required" help:"data files"`
}

// Description returns the first lines of the help text.
func (arguments) Description() string {
	return "birchcompare decides data files by the chosen policies and by their baselines."
}

func main() {
	var a arguments
	arg.MustParse(&a)
	for _, f := range a.Files {
		if err := run(f); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	}
}

func run(file string) error {
	f, err := os.Open(file)
	if err != nil {
		return fmt.Errorf("open data file: %w", err)
	}
	defer f.Close()
	s, err := compare.Read(file, f)
	if err != nil {
		return err
	}
	return compare.Run(os.Stdout, s)
}
