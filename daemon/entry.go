package daemon

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"go.uber.org/fx"

	"birchlink.dev/birchlink/balance"
	"birchlink.dev/birchlink/budget"
	"birchlink.dev/birchlink/exchange"
	"birchlink.dev/birchlink/forward"
	"birchlink.dev/birchlink/ingress"
	"birchlink.dev/birchlink/kernel"
	"birchlink.dev/birchlink/known"
	"birchlink.dev/birchlink/platform"
	"birchlink.dev/birchlink/quota"
	"birchlink.dev/birchlink/session"
	"birchlink.dev/birchlink/settings"
)

// dialEndpoint bounds how long a connection to an endpoint may take to stand; it
// stands within milliseconds, also in another data centre.
const dialEndpoint = 250 * time.Millisecond

// The times of a stop: the balancer asks each second and believes two misses.
const (
	stopNotice   = 2500 * time.Millisecond
	stopReserve  = 700 * time.Millisecond
	boxKeyPrefix = platform.OwnPrefix + "boxes/"
)

// Entry is one entry box on the users' platform.
type Entry struct {
	App *fx.App

	log zerolog.Logger
}

// NewEntry returns the daemon of an entry box, whose log goes to w.
func NewEntry(s settings.Entry, w io.Writer) (*Entry, error) {
	l, err := zerolog.ParseLevel(s.LogLevel)
	if err != nil {
		return nil, fmt.Errorf("log level: %w", err)
	}
	zerolog.SetGlobalLevel(l)
	log := zerolog.New(w).With().Timestamp().Str("box", s.Box).Logger()
	d := &Entry{log: log}
	d.App = fx.New(
		fx.NopLogger,
		fx.Supply(s, log),
		fx.Provide(metrics.NewRegistry, func() *kernel.Kernel { return &kernel.Kernel{} }, entryServices),
		fx.Invoke(kernel.Run, logLife),
		fx.StartTimeout(startLimit),
		fx.StopTimeout(s.StopLimit+stopMargin),
	)
	if err := d.App.Err(); err != nil {
		return nil, fmt.Errorf("put services together: %w", err)
	}
	return d, nil
}

// entryServices makes every service, in the order in which they start.
func entryServices(s settings.Entry, m metrics.Registry, log zerolog.Logger) []kernel.Service {
	st := platform.NewStore(s.Store)
	kn := known.New(known.Source{
		ConfigKey: platform.ConfigKey, EndpointsPrefix: platform.ServersPrefix,
		Document: platform.Document, Endpoint: platform.Endpoint,
	}, st, log)
	f := &forward.Forwarder{
		DataCentre: s.DataCentre, Roster: &kn.Roster, Book: &balance.Book{},
		Pool:   &exchange.Pool{DialLimit: dialEndpoint},
		Budget: budget.New(budget.Terms{Ratio: s.RetryRatio, Slack: float64(s.RetrySlack), Window: s.RetryWindow}),
		Codec:  platform.Wire{}, Began: func(string, time.Time) {}, Log: log,
	}
	q := &quota.Quota{}
	o := ingress.Options{
		Address: s.Callers, Ready: s.Ready, ReadyPath: platform.ReadyPath,
		Notice: min(stopNotice, s.StopLimit/3), Limit: s.StopLimit - stopReserve,
	}
	return []kernel.Service{
		session.New(st, boxKeyPrefix+s.Box, []byte(s.Peers), log),
		kn,
		ingress.New(o, platform.Wire{}, f, q, m, log),
	}
}

// logLife notes the start and the stop.
func logLife(l fx.Lifecycle, s settings.Entry, log zerolog.Logger) {
	l.Append(fx.Hook{
		OnStart: func(context.Context) error {
			log.Info().Str("event", "start").Str("data_centre", s.DataCentre).Str("callers", s.Callers).Msg("serving")
			return nil
		},
		OnStop: func(context.Context) error {
			log.Info().Str("event", "stop").Msg("stopping")
			return nil
		},
	})
}

// Reload reads the settings again and takes what may change while the box runs:
// the log's level. A file with mistakes changes nothing.
func (d *Entry) Reload(path string) {
	s, err := settings.LoadEntry(path)
	if err != nil {
		d.log.Error().Str("event", "reload").Err(err).Msg("the settings in force stay")
		return
	}
	l, err := zerolog.ParseLevel(s.LogLevel)
	if err != nil {
		d.log.Error().Str("event", "reload").Err(err).Msg("the settings in force stay")
		return
	}
	zerolog.SetGlobalLevel(l)
	d.log.Info().Str("event", "reload").Str("level", s.LogLevel).Msg("in force")
}
