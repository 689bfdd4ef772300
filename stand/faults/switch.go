// Package faults is the switch by which a test makes a stand-in misbehave.
package faults

import (
	"encoding/json"
	"net/http"
	"os"
	"sync"
	"time"

	"birchlink.dev/birchlink/jsonhttp"
)

// Mode is one way to misbehave. Left counts how many more calls it touches; a
// negative number means all until changed. At is a position in a stream.
type Mode struct {
	Name  string        `json:"name"`
	Left  int           `json:"left"`
	At    int           `json:"at"`
	Delay time.Duration `json:"delay"`
	Match string        `json:"match"`
}

// Switch holds the modes in force. Its zero value has none.
type Switch struct {
	mu    sync.Mutex
	modes map[string]Mode
}

// Set puts a mode in force; Left zero takes it away.
func (s *Switch) Set(m Mode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.modes == nil {
		s.modes = make(map[string]Mode)
	}
	if m.Left == 0 {
		delete(s.modes, m.Name)
		return
	}
	s.modes[m.Name] = m
}

// Take returns the mode of a name, if it is in force, and counts it down.
func (s *Switch) Take(name string) (Mode, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m, ok := s.modes[name]
	if !ok {
		return Mode{}, false
	}
	if m.Left > 0 {
		m.Left--
	}
	if m.Left == 0 {
		delete(s.modes, name)
	} else {
		s.modes[name] = m
	}
	return m, true
}

// Look returns the mode of a name without counting it down.
func (s *Switch) Look(name string) (Mode, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	m, ok := s.modes[name]
	return m, ok
}

// Die ends the process as a box that is taken, and leaves its audit in a file
// where one is named.
func Die(file string, audit any) {
	dying.Lock() // and never unlock: the first caller ends the process
	if file != "" {
		b, err := json.Marshal(audit)
		if err == nil {
			err = os.WriteFile(file, b, 0o600)
		}
		if err != nil {
			os.Exit(1)
		}
	}
	os.Exit(0)
}

var dying sync.Mutex

// ServeHTTP sets the mode in the body.
func (s *Switch) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var m Mode
	if jsonhttp.Read(w, r, &m) {
		s.Set(m)
		jsonhttp.Write(w, http.StatusOK, m)
	}
}
