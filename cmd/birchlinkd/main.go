// Command birchlinkd is the daemon of an entry box. It accepts requests from callers and routes them to
// endpoints.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alexflint/go-arg"
	"github.com/rs/zerolog/diode"
	"go.uber.org/fx"

	"birchlink.dev/birchlink/daemon"
	"birchlink.dev/birchlink/settings"
)

type arguments struct {
	Settings string `arg:"positional,required" help:"the INI file with this box's settings"`
	Platform bool   `arg:"--platform" help:"run on the users' platform: the file is the one that deploy/box.ini makes"`
	Check    bool   `arg:"--check" help:"report every mistake in the settings and exit"`
}

// Description returns the first lines of the help text.
func (arguments) Description() string { return "birchlinkd serves callers on one entry box." }

// maxQueuedLogLines bounds the log lines that are queued for a slow reader.
const maxQueuedLogLines = 4096

func main() {
	var a arguments
	arg.MustParse(&a)
	if err := run(a); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(a arguments) error {
	if a.Platform {
		return runPlatform(a)
	}
	s, err := settings.Load(a.Settings)
	if err != nil {
		return err
	}
	if a.Check {
		fmt.Println("settings are in order")
		return nil
	}
	// A hangup would end the process and its requests. The settings can't change while it runs.
	signal.Ignore(syscall.SIGHUP)
	d, err := daemon.New(s, os.Stderr)
	if err != nil {
		return err
	}
	stop := make(chan struct{})
	go func() {
		<-d.App.Wait()
		close(stop)
	}()
	return serve(d.App, stop)
}

// runPlatform runs with the settings of the users' platform. SIGHUP reloads the settings; SIGTERM and
// SIGINT stop the daemon.
func runPlatform(a arguments) error {
	s, err := settings.LoadPlatform(a.Settings)
	if err != nil {
		return err
	}
	if a.Check {
		fmt.Println("settings are in order")
		return nil
	}
	w := newLogWriter()
	defer w.Close()
	d, err := daemon.NewPlatformDaemon(s, w)
	if err != nil {
		return err
	}
	stop := make(chan struct{})
	signals := make(chan os.Signal, 8)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		stopping := false
		for v := range signals {
			if v == syscall.SIGHUP {
				d.Reload(a.Settings)
				continue
			}
			if !stopping {
				stopping = true
				close(stop)
			}
		}
	}()
	return serve(d.App, stop)
}

// newLogWriter returns a writer to standard output that never blocks. When more than maxQueuedLogLines
// lines are queued it drops lines and logs how many.
func newLogWriter() io.WriteCloser {
	return diode.NewWriter(os.Stdout, maxQueuedLogLines, 0, func(missed int) {
		fmt.Fprintf(os.Stdout, "{\"level\":\"warn\",\"event\":\"log lines dropped\",\"count\":%d}\n", missed)
	})
}

// serve starts app, waits until stop is closed and stops app. Exceeding the stop timeout is not an
// error.
func serve(app *fx.App, stop <-chan struct{}) error {
	c, cancel := context.WithTimeout(context.Background(), app.StartTimeout())
	defer cancel()
	if err := app.Start(c); err != nil {
		return fmt.Errorf("start: %w", err)
	}
	<-stop
	x, end := context.WithTimeout(context.Background(), app.StopTimeout())
	defer end()
	if err := app.Stop(x); err != nil && !errors.Is(err, context.DeadlineExceeded) {
		return fmt.Errorf("stop: %w", err)
	}
	return nil
}
