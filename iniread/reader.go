// Package iniread reads INI text as a whole and reports every mistake in it,
// not only the first.
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

// Mistake is one thing that is wrong in a file, and what is allowed there.
type Mistake struct {
	Section string
	Key     string
	Found   string
	Allowed string
}

// String returns the mistake on one line.
func (m Mistake) String() string {
	return fmt.Sprintf("[%s] %s = %q: allowed: %s", m.Section, m.Key, m.Found, m.Allowed)
}

// Reader reads keys by section and gathers the mistakes.
type Reader struct {
	Mistakes []Mistake

	file *ini.File
	used map[string]map[string]bool
}

// New parses text. A text that is no INI at all is one mistake.
func New(text []byte) *Reader {
	r := &Reader{used: map[string]map[string]bool{}}
	o := ini.LoadOptions{IgnoreInlineComment: true, AllowShadows: true, SkipUnrecognizableLines: false}
	f, err := ini.LoadSources(o, text)
	if err != nil {
		r.Add("", "", err.Error(), "INI: [section] lines and key = value lines")
		f = ini.Empty()
	}
	r.file = f
	return r
}

// Add notes a mistake.
func (r *Reader) Add(section, key, found, allowed string) {
	r.Mistakes = append(r.Mistakes, Mistake{section, key, found, allowed})
}

// Sections returns the names n of the sections `[prefix "n"]`, in file order.
func (r *Reader) Sections(prefix string) []string {
	var ns []string
	for _, s := range r.file.SectionStrings() {
		n, ok := strings.CutPrefix(s, prefix+` "`)
		if ok && strings.HasSuffix(n, `"`) {
			r.use(s, "")
			ns = append(ns, strings.TrimSuffix(n, `"`))
		}
	}
	return ns
}

// Keys returns the keys of a section and marks them as known.
func (r *Reader) Keys(section string) []string {
	s, err := r.file.GetSection(section)
	if err != nil {
		return nil
	}
	ks := s.KeyStrings()
	for _, k := range ks {
		r.use(section, k)
	}
	return ks
}

func (r *Reader) use(section, key string) {
	if r.used[section] == nil {
		r.used[section] = map[string]bool{}
	}
	r.used[section][key] = true
}

func (r *Reader) raw(section, key string) (string, bool) {
	r.use(section, key)
	s, err := r.file.GetSection(section)
	if err != nil || !s.HasKey(key) {
		return "", false
	}
	vs := s.Key(key).ValueWithShadows()
	if len(vs) > 1 {
		r.Add(section, key, strings.Join(vs, " and "), "one value; the key is given twice")
	}
	return s.Key(key).Value(), true
}

// String returns a value, or d if the key is missing.
func (r *Reader) String(section, key, d string) string {
	if v, ok := r.raw(section, key); ok {
		return v
	}
	return d
}

// Required returns a value that must be given and not be empty.
func (r *Reader) Required(section, key string) string {
	v, _ := r.raw(section, key)
	if v == "" {
		r.Add(section, key, v, "a value; it is required")
	}
	return v
}

// List returns the comma-separated parts of a value.
func (r *Reader) List(section, key string) []string {
	v, _ := r.raw(section, key)
	var l []string
	for p := range strings.SplitSeq(v, ",") {
		if p = strings.TrimSpace(p); p != "" {
			l = append(l, p)
		}
	}
	return l
}

// Duration returns a value between low and high, or d if the key is missing.
func (r *Reader) Duration(section, key string, d, low, high time.Duration) time.Duration {
	v, ok := r.raw(section, key)
	if !ok {
		return d
	}
	x, err := time.ParseDuration(v)
	if err != nil || x < low || x > high {
		r.Add(section, key, v, fmt.Sprintf("a duration from %v to %v, such as %v", low, high, d))
		return d
	}
	return x
}

// Int returns a value between low and high, or d if the key is missing.
func (r *Reader) Int(section, key string, d, low, high int) int {
	v, ok := r.raw(section, key)
	if !ok {
		return d
	}
	x, err := strconv.Atoi(v)
	if err != nil || x < low || x > high {
		r.Add(section, key, v, fmt.Sprintf("a whole number from %d to %d", low, high))
		return d
	}
	return x
}

// Float returns a value between low and high, or d if the key is missing.
func (r *Reader) Float(section, key string, d, low, high float64) float64 {
	v, ok := r.raw(section, key)
	if !ok {
		return d
	}
	x, err := strconv.ParseFloat(v, 64)
	if err != nil || !(x >= low && x <= high) {
		r.Add(section, key, v, fmt.Sprintf("a number from %g to %g", low, high))
		return d
	}
	return x
}

// Choice returns a value that must be one of those named.
func (r *Reader) Choice(section, key, d string, of ...string) string {
	v, ok := r.raw(section, key)
	if !ok {
		return d
	}
	if !slices.Contains(of, v) {
		r.Add(section, key, v, "one of "+strings.Join(of, ", "))
		return d
	}
	return v
}

// Address returns an IP number with a port, which must be given.
func (r *Reader) Address(section, key string) string {
	v, _ := r.raw(section, key)
	r.checkAddress(section, key, v)
	return v
}

// Addresses returns a list of IP numbers with ports.
func (r *Reader) Addresses(section, key string) []string {
	l := r.List(section, key)
	for _, v := range l {
		r.checkAddress(section, key, v)
	}
	return l
}

func (r *Reader) checkAddress(section, key, v string) {
	if _, err := netip.ParseAddrPort(v); err != nil {
		r.Add(section, key, v, "an IP number and a port, such as 10.0.0.1:7000")
	}
}

// Join makes one error of mistakes, or nil of none.
func Join(ms []Mistake) error {
	es := make([]error, len(ms))
	for i, m := range ms {
		es[i] = errors.New(m.String())
	}
	return errors.Join(es...)
}

// Finish reports every section and key that nothing asked for, and returns all
// mistakes.
func (r *Reader) Finish() []Mistake {
	for _, s := range r.file.Sections() {
		if s.Name() == ini.DefaultSection && len(s.Keys()) == 0 {
			continue
		}
		known, ok := r.used[s.Name()]
		if !ok {
			r.Add(s.Name(), "", "", "no such section; see the settings table")
			continue
		}
		for _, k := range s.KeyStrings() {
			if !known[k] {
				r.Add(s.Name(), k, s.Key(k).Value(), "no such key; see the settings table")
			}
		}
	}
	return r.Mistakes
}
