// Package daemon puts the services of an entry box together.
package daemon

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"go.uber.org/fx"

	"birchlink.dev/birchlink/admission"
	"birchlink.dev/birchlink/claims"
	"birchlink.dev/birchlink/cloud"
	"birchlink.dev/birchlink/decisions"
	"birchlink.dev/birchlink/dispatch"
	"birchlink.dev/birchlink/follower"
	"birchlink.dev/birchlink/front"
	"birchlink.dev/birchlink/kernel"
	"birchlink.dev/birchlink/kv"
	"birchlink.dev/birchlink/member"
	"birchlink.dev/birchlink/observer"
	"birchlink.dev/birchlink/operator"
	"birchlink.dev/birchlink/peer"
	"birchlink.dev/birchlink/placer"
	"birchlink.dev/birchlink/plain"
	"birchlink.dev/birchlink/settings"
	"birchlink.dev/birchlink/stream"
	"birchlink.dev/birchlink/suspects"
	"birchlink.dev/birchlink/view"
)

// The limits of start and stop beyond those in the settings.
const (
	startLimit = 20 * time.Second
	stopMargin = 30 * time.Second
	ownMargin  = 3 * time.Second
)

// Daemon is one entry box.
type Daemon struct {
	Front    *front.Front
	Operator *operator.Operator
	App      *fx.App
}

// New returns the daemon of a box, whose log goes to w.
func New(s settings.Settings, w io.Writer) (*Daemon, error) {
	l, err := zerolog.ParseLevel(s.LogLevel)
	if err != nil {
		return nil, fmt.Errorf("log level: %w", err)
	}
	log := zerolog.New(w).Level(l).With().Timestamp().Str("box", s.Box).Logger()
	d := &Daemon{}
	d.App = fx.New(
		fx.NopLogger,
		fx.Supply(s, log),
		fx.Provide(metrics.NewRegistry, func() *kernel.Kernel { return &kernel.Kernel{} }, d.services),
		fx.Invoke(kernel.Run, watchOwnNotice),
		fx.StartTimeout(startLimit),
		fx.StopTimeout(s.StopNotice+s.StopLimit+stopMargin),
	)
	if err := d.App.Err(); err != nil {
		return nil, fmt.Errorf("put services together: %w", err)
	}
	return d, nil
}

// services makes every service, in the order in which they start. They stop in
// the reverse order, so callers are drained first.
func (d *Daemon) services(s settings.Settings, m metrics.Registry, log zerolog.Logger) []kernel.Service {
	platform := cloud.New(s.Cloud, s.BoxList, s.Box)
	d.Front = front.New(front.Options{
		Address: s.Callers, MaxBody: s.MaxBody, MaxRequests: s.MaxRequests, ShutdownDelay: s.StopNotice, ShutdownTimeout: s.StopLimit,
	}, m, log)
	d.Operator = operator.New(s.Admin, s.OperatorKey, m, log)
	return []kernel.Service{
		peer.NewNode(s.Peers, s.Advertise, s.Secret, m),
		&kv.Service{Client: kv.New(s.KV, s.Box, s.WriteRate, s.ReadRate, m)},
		member.New(s.Box, s.DataCentre, s.Seeds, log),
		decisions.New(s.Box, log),
		follower.New(log),
		view.New(),
		admission.New(),
		observer.New(platform, log),
		suspects.New(log),
		stream.New(s.Policy, s.MaxHeld, m, log),
		plain.New(),
		claims.New(s.ClaimSlots, s.ClaimTTL),
		dispatch.New(s.ClaimTTL),
		placer.New(platform, log),
		d.Operator,
		d.Front,
	}
}

// watchOwnNotice stops the daemon in time when its own box has a notice.
func watchOwnNotice(l fx.Lifecycle, k *kernel.Kernel, s settings.Settings, stop fx.Shutdowner, log zerolog.Logger) {
	l.Append(fx.Hook{OnStart: func(context.Context) error {
		v, err := kernel.Find[*view.View](k, view.Name)
		if err != nil {
			return err
		}
		f, err := kernel.Find[*front.Front](k, front.Name)
		if err != nil {
			return err
		}
		v.OnLeaving(func(box string, deadline time.Time) {
			if box != s.Box {
				return
			}
			log.Warn().Str("event", "own notice").Time("deadline", deadline).Msg("this box leaves")
			f.SetStopDeadline(deadline.Add(-ownMargin))
			if err := stop.Shutdown(); err != nil {
				log.Error().Err(err).Msg("not stopped")
			}
		})
		return nil
	}})
}
