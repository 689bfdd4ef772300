// Package faults implements fault injection for the stand-ins: tests set faults by name, and the
// stand-ins look them up.
package faults

import (
	"encoding/json"
	"net/http"
	"os"
	"sync"
	"time"

	"birchlink.dev/birchlink/jsonhttp"
)

// Fault is one injected fault. Remaining is the number of calls that it still affects; a negative
// number affects all calls until the fault is changed. TokenIndex is the position in a stream at
// which the fault occurs, Delay the time that it adds, and Match the part of a path, key or caller
// that it applies to.
type Fault struct {
	Name       string        `json:"name"`
	Remaining  int           `json:"left"`
	TokenIndex int           `json:"at"`
	Delay      time.Duration `json:"delay"`
	Match      string        `json:"match"`
}

// Injector holds the active faults. Its zero value has none and is ready to use.
type Injector struct {
	mu     sync.Mutex
	active map[string]Fault
}

// Set activates a fault, or removes it if f.Remaining is zero.
func (i *Injector) Set(f Fault) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.active == nil {
		i.active = make(map[string]Fault)
	}
	if f.Remaining == 0 {
		delete(i.active, f.Name)
		return
	}
	i.active[f.Name] = f
}

// Consume returns the fault with a name if it is active, and decrements its remaining calls.
func (i *Injector) Consume(name string) (Fault, bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	f, ok := i.active[name]
	if !ok {
		return Fault{}, false
	}
	if f.Remaining > 0 {
		f.Remaining--
	}
	if f.Remaining == 0 {
		delete(i.active, name)
	} else {
		i.active[name] = f
	}
	return f, true
}

// Lookup returns the fault with a name if it is active, without decrementing its remaining calls.
func (i *Injector) Lookup(name string) (Fault, bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	f, ok := i.active[name]
	return f, ok
}

// Exit terminates the process, as the reclaim of a box does. If file is not empty, it first writes
// the audit there as JSON. The exit code is 1 if that fails.
func Exit(file string, audit any) {
	exitMu.Lock() // never unlocked: the first caller terminates the process
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

// exitMu keeps concurrent calls of Exit from writing the file twice.
var exitMu sync.Mutex

// ServeHTTP sets the fault in the request body.
func (i *Injector) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var f Fault
	if jsonhttp.Read(w, r, &f) {
		i.Set(f)
		jsonhttp.Write(w, http.StatusOK, f)
	}
}
