// Command birchlinkd is the daemon of an entry box.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/alexflint/go-arg"

	"birchlink.dev/birchlink/daemon"
	"birchlink.dev/birchlink/settings"
)

type arguments struct {
	Settings string `arg:"positional,required" help:"the INI file with this box's settings"`
	Check    bool   `arg:"--check" help:"report every mistake in the settings and exit"`
}

// Description says what the program is for.
func (arguments) Description() string { return "birchlinkd serves callers on one entry box." }

func main() {
	var a arguments
	arg.MustParse(&a)
	if err := run(a); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(a arguments) error {
	s, err := settings.Load(a.Settings)
	if err != nil {
		return err
	}
	if a.Check {
		fmt.Println("settings are in order")
		return nil
	}
	d, err := daemon.New(s, os.Stderr)
	if err != nil {
		return err
	}
	return serve(d)
}

// serve runs until a signal, or until the box's own notice, and stops in order.
func serve(d *daemon.Daemon) error {
	c, cancel := context.WithTimeout(context.Background(), d.App.StartTimeout())
	defer cancel()
	if err := d.App.Start(c); err != nil {
		return fmt.Errorf("start: %w", err)
	}
	<-d.App.Wait()
	x, stop := context.WithTimeout(context.Background(), d.App.StopTimeout())
	defer stop()
	if err := d.App.Stop(x); err != nil {
		return fmt.Errorf("stop: %w", err)
	}
	return nil
}
