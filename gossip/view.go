package gossip

import (
	"context"
	"time"

	"birchlink.dev/birchlink/boottime"
)

// viewReport is what a relay says of its view of the store: the version of its configuration, the revision of its records, and
// the time since these were known to have all changes.
type viewReport struct {
	Watching bool
	Version  uint64
	Revision uint64
	Age      time.Duration
}

// view returns the state of this relay's view.
func (g *Gossip) view() viewReport {
	v := viewReport{Watching: g.state.IsWatching(), Age: g.state.ReportedAge()} // before the revision, which may be newer
	v.Revision = g.state.Revision()
	v.Version, _ = g.state.RawConfig()
	return v
}

// askForView asks another relay for its view, which confirms this relay's.
func (g *Gossip) askForView(c context.Context, address string) {
	asked := boottime.Now()
	var v viewReport
	if err := g.call(c, address, "gossip.view", struct{}{}, &v); err == nil {
		g.confirmView(v, boottime.Since(asked))
	}
}

// confirmView records the view of another relay, which took some time to answer. Only those that watch the store count: views of
// relays that confirm each other's would never be old.
func (g *Gossip) confirmView(v viewReport, took time.Duration) {
	if v.Watching {
		g.state.ConfirmView(v.Version, v.Revision, v.Age+took)
	}
}

const (
	// maxViewAge is the age from which a box's view of the store is old although the store answers. A watch confirms the view
	// of 0.7 s before, every 0.7 s, and each box on the way to a member adds up to a round.
	maxViewAge = 4 * time.Second

	// maxRelayViewLag is how long the view of a member's relay may be old before the member reads the store itself. Other relays
	// should have taken over from those that watch the store by then.
	maxRelayViewLag = 2 * maxViewAge

	// watchRest is how long a relay leaves watching to others after its view was old.
	watchRest = 30 * time.Second

	// viewLogInterval is the interval at which a view that stays old is logged.
	viewLogInterval = 10 * time.Second
)

// viewLog is what was logged of the age of this box's view.
type viewLog struct {
	oldSince, loggedAt time.Time // zero while the view is not old
}

// ViewLag returns for how long the store has answered while this box's configuration and records were not known to be up to
// date.
func (g *Gossip) ViewLag() time.Duration {
	return min(g.state.ViewAge(), g.session.StoreResponsiveFor())
}

// logView logs when this box's view becomes old, while it stays so, and when it is up to date again.
func (g *Gossip) logView() {
	lag, now := g.ViewLag(), boottime.Now()
	l := &g.viewLog
	message := "old although the store answers"
	switch {
	case lag > maxViewAge && l.oldSince.IsZero():
		l.oldSince = now.Add(-lag)
	case lag > maxViewAge && now.Sub(l.loggedAt) < viewLogInterval, lag <= maxViewAge && l.oldSince.IsZero():
		return
	case lag <= maxViewAge:
		message = "up to date again"
	}
	l.loggedAt = now
	version, _ := g.state.RawConfig()
	g.log.Info().Str("event", "view").Uint64("version", version).Uint64("revision", g.state.Revision()).Dur("lag", lag).
		Dur("configuration_lag", g.state.ConfigLag()).Dur("records_lag", g.state.RecordsLag()).
		Dur("for", now.Sub(l.oldSince)).Bool("watches", g.state.IsWatching()).Str("relay", g.relay.box).
		Dur("store_age", g.session.StoreUnresponsiveFor()).Msg(message)
	if lag <= maxViewAge {
		*l = viewLog{}
	}
}

// restIfOld makes a relay leave watching the store to others if its view is old though it watches.
func (g *Gossip) restIfOld() {
	if !g.holdsSlot() || !g.state.IsWatching() || g.ViewLag() <= maxViewAge || g.isResting() {
		return
	}
	until := boottime.Now().Add(watchRest)
	g.restsUntil.Store(&until)
	g.log.Info().Str("event", "view").Dur("lag", g.ViewLag()).Dur("rest", watchRest).Msg("leaves watching to other relays")
}

// isResting reports whether this box leaves watching to others.
func (g *Gossip) isResting() bool {
	until := g.restsUntil.Load()
	return until != nil && boottime.Now().Before(*until)
}
