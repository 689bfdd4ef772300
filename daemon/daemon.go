// Package daemon assembles the services of an entry box and runs them. Daemon serves birchlink's own
// API, which is compatible with OpenAI's. PlatformDaemon runs on the users' platform and speaks its
// protocols.
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
	"birchlink.dev/birchlink/configsync"
	"birchlink.dev/birchlink/decisions"
	"birchlink.dev/birchlink/dispatch"
	"birchlink.dev/birchlink/front"
	"birchlink.dev/birchlink/kernel"
	"birchlink.dev/birchlink/kv"
	"birchlink.dev/birchlink/member"
	"birchlink.dev/birchlink/observer"
	"birchlink.dev/birchlink/operator"
	"birchlink.dev/birchlink/peer"
	"birchlink.dev/birchlink/placer"
	"birchlink.dev/birchlink/serviceproxy"
	"birchlink.dev/birchlink/settings"
	"birchlink.dev/birchlink/stream"
	"birchlink.dev/birchlink/suspects"
	"birchlink.dev/birchlink/view"
)

// Time limits of start and stop.
const (
	startTimeout      = 20 * time.Second
	stopTimeoutMargin = 30 * time.Second // added to the configured limits of a stop
	reclaimMargin     = 3 * time.Second  // between the end of the stop and the reclaim of the box
)

// Daemon is the process of an entry box that serves birchlink's own API.
type Daemon struct {
	Front    *front.Front
	Operator *operator.Operator
	App      *fx.App
}

// New returns a daemon that writes its log to w. The daemon is started and stopped through its App.
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
		fx.Provide(metrics.NewRegistry, func() *kernel.Kernel { return &kernel.Kernel{} }, d.newServices),
		fx.Invoke(kernel.Run, stopOnReclaimNotice),
		fx.StartTimeout(startTimeout),
		fx.StopTimeout(s.StopNotice+s.StopLimit+stopTimeoutMargin),
	)
	if err := d.App.Err(); err != nil {
		return nil, fmt.Errorf("assemble services: %w", err)
	}
	return d, nil
}

// newServices returns the services in the order in which they start. They stop in the reverse
// order, so that callers are drained first.
func (d *Daemon) newServices(s settings.Settings, m metrics.Registry, log zerolog.Logger) []kernel.Service {
	cl := cloud.New(s.Cloud, s.BoxList, s.Box)
	d.Front = front.New(front.Options{
		Address: s.Callers, MaxBody: s.MaxBody, MaxRequests: s.MaxRequests, ShutdownDelay: s.StopNotice, ShutdownTimeout: s.StopLimit,
	}, m, log)
	d.Operator = operator.New(s.Admin, s.OperatorKey, m, log)
	p, c := serviceproxy.New(), dispatch.New(s.ClaimTTL)
	p.Window, c.Window = d.Front.Window, d.Front.Window
	return []kernel.Service{
		peer.NewNode(s.Peers, s.Advertise, s.Secret, m),
		&kv.Service{Client: kv.New(s.KV, s.Box, s.WriteRate, s.ReadRate, m)},
		member.New(s.Box, s.DataCentre, s.Seeds, log),
		decisions.New(s.Box, log),
		configsync.New(log),
		view.New(),
		admission.New(),
		observer.New(cl, log),
		suspects.New(log),
		stream.New(s.Policy, s.MaxHeldAnswers, m, log),
		p,
		claims.New(s.ClaimSlots, s.ClaimTTL),
		c,
		placer.New(cl, log),
		d.Operator,
		d.Front,
	}
}

// stopOnReclaimNotice makes the daemon stop before the deadline if its own box gets a reclaim notice.
func stopOnReclaimNotice(l fx.Lifecycle, k *kernel.Kernel, s settings.Settings, stop fx.Shutdowner, log zerolog.Logger) {
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
			log.Warn().Str("event", "own notice").Time("deadline", deadline).Msg("this box is being reclaimed")
			f.SetStopDeadline(deadline.Add(-reclaimMargin))
			if err := stop.Shutdown(); err != nil {
				log.Error().Err(err).Msg("shutdown failed")
			}
		})
		return nil
	}})
}
