// Package iniread reads typed values from INI text. It collects all mistakes in the text instead of
// stopping at the first one.
package iniread

import (
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"
)

// Mistake is an invalid entry of a file, with a description of what is allowed there.
type Mistake struct {
	Section string
	Key     string
	Found   string
	Allowed string
}

// String returns the mistake as one line.
func (m Mistake) String() string {
	return fmt.Sprintf("[%s] %s = %q: allowed: %s", m.Section, m.Key, m.Found, m.Allowed)
}

// Reader reads values by section and key, and collects the mistakes. The methods that return a
// value record a mistake if it is invalid, and mark the key as known for Finish.
type Reader struct {
	Mistakes []Mistake

	file  *ini.File
	known map[string]map[string]bool // by section and key
}

// New returns a reader of text. If text is not valid INI, that is recorded as a mistake and the
// reader is empty.
func New(text []byte) *Reader {
	r := &Reader{known: map[string]map[string]bool{}}
	o := ini.LoadOptions{IgnoreInlineComment: true, AllowShadows: true, SkipUnrecognizableLines: false}
	f, err := ini.LoadSources(o, text)
	if err != nil {
		r.AddMistake("", "", err.Error(), "INI: [section] lines and key = value lines")
		f = ini.Empty()
	}
	r.file = f
	return r
}

// AddMistake records a mistake.
func (r *Reader) AddMistake(section, key, found, allowed string) {
	r.Mistakes = append(r.Mistakes, Mistake{section, key, found, allowed})
}

// Sections returns the name n of each section `[prefix "n"]`, in file order, and marks these
// sections as known.
func (r *Reader) Sections(prefix string) []string {
	var ns []string
	for _, s := range r.file.SectionStrings() {
		n, ok := strings.CutPrefix(s, prefix+` "`)
		if ok && strings.HasSuffix(n, `"`) {
			r.markKnown(s, "")
			ns = append(ns, strings.TrimSuffix(n, `"`))
		}
	}
	return ns
}

// Keys returns the keys of a section, in file order, and marks them as known.
func (r *Reader) Keys(section string) []string {
	s, err := r.file.GetSection(section)
	if err != nil {
		return nil
	}
	ks := s.KeyStrings()
	for _, k := range ks {
		r.markKnown(section, k)
	}
	return ks
}

func (r *Reader) markKnown(section, key string) {
	if r.known[section] == nil {
		r.known[section] = map[string]bool{}
	}
	r.known[section][key] = true
}

func (r *Reader) lookup(section, key string) (string, bool) {
	r.markKnown(section, key)
	s, err := r.file.GetSection(section)
	if err != nil || !s.HasKey(key) {
		return "", false
	}
	vs := s.Key(key).ValueWithShadows()
	if len(vs) > 1 {
		r.AddMistake(section, key, strings.Join(vs, " and "), "one value; the key is given twice")
	}
	return s.Key(key).Value(), true
}

// String returns a value, or def if the key is missing.
func (r *Reader) String(section, key, def string) string {
	if v, ok := r.lookup(section, key); ok {
		return v
	}
	return def
}

// Required returns a value. A missing or empty value is a mistake.
func (r *Reader) Required(section, key string) string {
	v, _ := r.lookup(section, key)
	if v == "" {
		r.AddMistake(section, key, v, "a value; it is required")
	}
	return v
}

// List returns the comma-separated elements of a value, without surrounding space and empty
// elements.
func (r *Reader) List(section, key string) []string {
	v, _ := r.lookup(section, key)
	var l []string
	for p := range strings.SplitSeq(v, ",") {
		if p = strings.TrimSpace(p); p != "" {
			l = append(l, p)
		}
	}
	return l
}

// Duration returns a duration from low to high, or def if the key is missing or the value invalid.
func (r *Reader) Duration(section, key string, def, low, high time.Duration) time.Duration {
	v, ok := r.lookup(section, key)
	if !ok {
		return def
	}
	x, err := time.ParseDuration(v)
	if err != nil || x < low || x > high {
		r.AddMistake(section, key, v, fmt.Sprintf("a duration from %v to %v, such as %v", low, high, def))
		return def
	}
	return x
}

// Int returns an integer from low to high, or def if the key is missing or the value invalid.
func (r *Reader) Int(section, key string, def, low, high int) int {
	v, ok := r.lookup(section, key)
	if !ok {
		return def
	}
	x, err := strconv.Atoi(v)
	if err != nil || x < low || x > high {
		r.AddMistake(section, key, v, fmt.Sprintf("a whole number from %d to %d", low, high))
		return def
	}
	return x
}

// Float returns a number from low to high, or def if the key is missing or the value invalid.
func (r *Reader) Float(section, key string, def, low, high float64) float64 {
	v, ok := r.lookup(section, key)
	if !ok {
		return def
	}
	x, err := strconv.ParseFloat(v, 64)
	if err != nil || !(x >= low && x <= high) {
		r.AddMistake(section, key, v, fmt.Sprintf("a number from %g to %g", low, high))
		return def
	}
	return x
}

// Choice returns a value that is one of choices, or def if the key is missing or the value invalid.
func (r *Reader) Choice(section, key, def string, choices ...string) string {
	v, ok := r.lookup(section, key)
	if !ok {
		return def
	}
	if !slices.Contains(choices, v) {
		r.AddMistake(section, key, v, "one of "+strings.Join(choices, ", "))
		return def
	}
	return v
}

// Address returns an IP address with a port. A missing value is a mistake.
func (r *Reader) Address(section, key string) string {
	v, _ := r.lookup(section, key)
	r.checkAddress(section, key, v)
	return v
}

// Addresses returns a list of IP addresses with ports, which may be empty.
func (r *Reader) Addresses(section, key string) []string {
	l := r.List(section, key)
	for _, v := range l {
		r.checkAddress(section, key, v)
	}
	return l
}

func (r *Reader) checkAddress(section, key, v string) {
	if _, err := netip.ParseAddrPort(v); err != nil {
		r.AddMistake(section, key, v, "an IP number and a port, such as 10.0.0.1:7000")
	}
}

// Join returns an error that joins all mistakes, or nil if there are none.
func Join(ms []Mistake) error {
	es := make([]error, len(ms))
	for i, m := range ms {
		es[i] = errors.New(m.String())
	}
	return errors.Join(es...)
}

// Finish records each section and key that was not read as a mistake, and returns all mistakes. It
// must be called after all values have been read.
func (r *Reader) Finish() []Mistake {
	for _, s := range r.file.Sections() {
		if s.Name() == ini.DefaultSection && len(s.Keys()) == 0 {
			continue
		}
		known, ok := r.known[s.Name()]
		if !ok {
			r.AddMistake(s.Name(), "", "", "no such section; see the settings table")
			continue
		}
		for _, k := range s.KeyStrings() {
			if !known[k] {
				r.AddMistake(s.Name(), k, s.Key(k).Value(), "no such key; see the settings table")
			}
		}
	}
	return r.Mistakes
}
