// Command stand runs the cases of the review that are scripts: it starts entry boxes as processes of their own, with stand-ins
// of the platform, servers and clients, and checks a rule on what these see.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// Exit statuses.
const (
	held   = 0
	broken = 1
	failed = 2
)

// cases are the cases by name. Each returns whether the rule was broken, and an error if it could not run.
var cases = map[string]func(f *fleet, trouble bool) (bool, error){
	"config-storm": configStorm,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: stand CASE FOLDER")
		return failed
	}
	play, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", os.Args[1])
		return failed
	}
	r := newRecord()
	f, err := newFleet(r)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-stopped
		f.close()
		os.Exit(failed)
	}()
	isBroken, err := play(f, os.Getenv("TROUBLE") != "0")
	f.close()
	status := held
	switch {
	case err != nil:
		r.add("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		status = failed
	case isBroken:
		r.add("the rule was broken")
		status = broken
	default:
		r.add("the rule held")
	}
	if err := r.write(filepath.Join(os.Args[2], "record.txt")); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	return status
}
