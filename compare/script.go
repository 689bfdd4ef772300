// Package compare decides scripted data files step by step, by the chosen
// policies and by their baselines, and prints what each comes to. It makes
// decisions only: no engine runs and no time passes.
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

// Step is one line of a data file: a word, its arguments, and its name=value
// fields.
type Step struct {
	Line   int
	Word   string
	Args   []string
	Fields map[string]string
}

// Script is a data file.
type Script struct {
	Name  string
	Steps []Step
}

// Read reads a data file: one step a line, # for remarks.
func Read(name string, r io.Reader) (Script, error) {
	s := Script{Name: name}
	b := bufio.NewScanner(r)
	for n := 1; b.Scan(); n++ {
		t, _, _ := strings.Cut(b.Text(), "#")
		w := strings.Fields(t)
		if len(w) == 0 {
			continue
		}
		p := Step{Line: n, Word: w[0], Fields: map[string]string{}}
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

// number returns a field as a number; a field that is missing or no number is
// an error that names the line.
func (s Step) number(field string) (float64, error) {
	v, err := strconv.ParseFloat(s.Fields[field], 64)
	if err != nil {
		return 0, fmt.Errorf("line %d: %s: %s is not a number", s.Line, s.Word, field)
	}
	return v, nil
}

// numbers fills each number from the field of its name.
func (s Step) numbers(into map[string]*float64) error {
	for f, p := range into {
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
		return "", fmt.Errorf("line %d: %s needs %d words", s.Line, s.Word, i+1)
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

// document reads the configuration that a step names.
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

// price reads `price DC CLASS reclaimable|on_demand per_hour=N supply=N`.
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
