// Command stand2 plays the cases of this review that are scripts. It starts a small deployment of real processes: boxes with the
// settings of deploy/box.ini, servers as processes of this program, and stand-ins of the platform's store and cloud in its own.
package main

import (
	"bufio"
	"fmt"
	"os"
	"time"
)

// Exit statuses of a script.
const (
	held   = 0
	broken = 1
	failed = 2 // the case could not run
)

// cases has the cases by name. Each returns whether the rule was broken, and a summary.
var cases = map[string]func(*fleet, bool) (bool, string, error){"restart": restart, "silence": silence}

func main() {
	if len(os.Args) == 3 && os.Args[1] == "server" {
		if err := runServer(os.Args[2]); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(failed)
		}
		return
	}
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand2 CASE DAEMON RECORD")
		os.Exit(failed)
	}
	os.Exit(play(os.Args[1], os.Args[2], os.Args[3]))
}

func play(name, program, path string) int {
	w, err := os.Create(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	r := &record{f: w, w: bufio.NewWriter(w), began: time.Now()}
	defer r.close()
	dir, err := os.MkdirTemp("", "stand2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	}
	f, err := newFleet(r, dir, program)
	if err == nil {
		defer f.close()
		var isBroken bool
		var summary string
		isBroken, summary, err = cases[name](f, os.Getenv("TROUBLE") != "0")
		if err == nil {
			f.add("%s", summary)
			fmt.Println(summary)
			if isBroken {
				return broken
			}
			return held
		}
	}
	r.add("the case could not run: %v", err)
	fmt.Fprintln(os.Stderr, err)
	return failed
}
