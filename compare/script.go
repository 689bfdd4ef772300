// Package compare evaluates the default policies of placement, routing, admission and reclaim against
// baselines. It executes the steps of a data file with each set of policies and prints tables of the
// results. It only makes the decisions: no engine runs and no time passes.
package compare

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"strconv"
	"strings"
	"time"

	"birchlink.dev/birchlink/cloud"
	"birchlink.dev/birchlink/config"
	"birchlink.dev/birchlink/iniread"
)

// Step is one line of a data file: a command, its arguments, and its name=value fields. Line is the
// line number, starting with 1.
type Step struct {
	Line    int
	Command string
	Args    []string
	Fields  map[string]string
}

// Script holds the steps of a data file.
type Script struct {
	Name  string
	Steps []Step
}

// Read parses a data file with one step per line. A # starts a comment.
func Read(name string, r io.Reader) (Script, error) {
	s := Script{Name: name}
	b := bufio.NewScanner(r)
	for n := 1; b.Scan(); n++ {
		t, _, _ := strings.Cut(b.Text(), "#")
		w := strings.Fields(t)
		if len(w) == 0 {
			continue
		}
		p := Step{Line: n, Command: w[0], Fields: map[string]string{}}
		for _, a := range w[1:] {
			if k, v, ok := strings.Cut(a, "="); ok {
				p.Fields[k] = v
				continue
			}
			p.Args = append(p.Args, a)
		}
		s.Steps = append(s.Steps, p)
	}
	if err := b.Err(); err != nil {
		return s, fmt.Errorf("read %s: %w", name, err)
	}
	return s, nil
}

// number returns a field as a number. It returns an error with the line number if the field is missing
// or not a number.
func (s Step) number(field string) (float64, error) {
	v, err := strconv.ParseFloat(s.Fields[field], 64)
	if err != nil {
		return 0, fmt.Errorf("line %d: %s: %s is not a number", s.Line, s.Command, field)
	}
	return v, nil
}

// numbers sets each number to the value of the field with its name.
func (s Step) numbers(dest map[string]*float64) error {
	for f, p := range dest {
		v, err := s.number(f)
		if err != nil {
			return err
		}
		*p = v
	}
	return nil
}

func (s Step) arg(i int) (string, error) {
	if i >= len(s.Args) {
		return "", fmt.Errorf("line %d: %s needs at least %d arguments", s.Line, s.Command, i+1)
	}
	return s.Args[i], nil
}

func (s Step) duration(i int) (time.Duration, error) {
	a, err := s.arg(i)
	if err != nil {
		return 0, err
	}
	d, err := time.ParseDuration(a)
	if err != nil {
		return 0, fmt.Errorf("line %d: %w", s.Line, err)
	}
	return d, nil
}

// document reads the configuration file that is the first argument of a step.
func (s Step) document() (*config.Document, error) {
	f, err := s.arg(0)
	if err != nil {
		return nil, err
	}
	b, err := os.ReadFile(f)
	if err != nil {
		return nil, fmt.Errorf("line %d: %w", s.Line, err)
	}
	d, ms := config.Parse(1, b)
	return d, iniread.Join(ms)
}

// price parses `price DC CLASS reclaimable|on_demand per_hour=N supply=N`.
func (s Step) price() (cloud.Price, error) {
	const words = 3
	if len(s.Args) != words {
		return cloud.Price{}, fmt.Errorf("line %d: price DC CLASS reclaimable|on_demand", s.Line)
	}
	p := cloud.Price{DataCentre: s.Args[0], Class: s.Args[1], Reclaimable: s.Args[2] == "reclaimable"}
	var supply float64
	err := s.numbers(map[string]*float64{"per_hour": &p.PerHour, "supply": &supply})
	p.Supply = int(supply)
	return p, err
}
