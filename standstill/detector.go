// Package standstill detects that the process did not run for some time: it was stopped, its machine was suspended, or other
// processes had the processors. What it knew before is older by that time, and its timers are late.
package standstill

import (
	"context"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"birchlink.dev/birchlink/boottime"
	"birchlink.dev/birchlink/kernel"
	"birchlink.dev/birchlink/wait"
)

// Name is the name of the service.
const Name = "standstill"

const (
	// interval is the time between two checks, and minStandstill the least delay of a check that is reported.
	interval      = 100 * time.Millisecond
	minStandstill = 250 * time.Millisecond

	// logInterval bounds the rate of log lines. Standstills in between are counted only, and the next line has their number.
	logInterval = time.Second
)

// Detector counts standstills in the metric standstill.count and logs them. It must be created with New.
type Detector struct {
	metrics metrics.Registry
	log     zerolog.Logger
	cancel  context.CancelFunc
	group   sync.WaitGroup
}

// New returns a detector.
func New(m metrics.Registry, log zerolog.Logger) *Detector { return &Detector{metrics: m, log: log} }

// Name returns the service's name.
func (d *Detector) Name() string { return Name }

// Start starts to check.
func (d *Detector) Start(context.Context, *kernel.Kernel) error {
	c, cancel := context.WithCancel(context.Background())
	d.cancel = cancel
	d.group.Go(func() { d.run(c) })
	return nil
}

// Stop ends the checks.
func (d *Detector) Stop(context.Context) error {
	d.cancel()
	d.group.Wait()
	return nil
}

func (d *Detector) run(c context.Context) {
	omitted, loggedAt := 0, time.Time{}
	for c.Err() == nil {
		began, suspended := boottime.Now(), boottime.Suspended()
		wait.For(c, interval)
		late := boottime.Since(began) - interval
		if c.Err() != nil || late < minStandstill {
			continue
		}
		metrics.GetOrRegisterCounter("standstill.count", d.metrics).Inc(1)
		if !loggedAt.IsZero() && boottime.Since(loggedAt) < logInterval {
			omitted++
			continue
		}
		d.log.Warn().Str("event", "standstill").Dur("for", late).Dur("suspended", boottime.Suspended()-suspended).Int("omitted", omitted).
			Msg("the process did not run")
		omitted, loggedAt = 0, boottime.Now()
	}
}
