package origins

import (
	"context"
	"maps"
	"slices"
	"time"

	"birchlink.dev/birchlink/boottime"
	"birchlink.dev/birchlink/rendezvous"
	"birchlink.dev/birchlink/versionhistory"
	"birchlink.dev/birchlink/wait"
)

const (
	// settleInterval is the interval at which a box that can't tell which versions are settled asks others, and maxSettleQuestions
	// the number of boxes asked.
	settleInterval     = 200 * time.Millisecond
	maxSettleQuestions = 2

	// youngFor is how long after its start a process asks at once which versions others know to be settled. Later, unless its view
	// is old, it asks when they may be.
	youngFor = 10 * time.Second
)

// runSettle learns from other boxes which versions are settled until c is done. Without it a process that starts while the store is
// away, or beside several versions, could begin no streams until it knows that itself, and boxes that don't watch the store would
// know it a round or two later than those that do.
func (d *Directory) runSettle(c context.Context) {
	started := boottime.Now()
	for c.Err() == nil {
		now := boottime.Now()
		if age, _ := d.Versions.Age(now); now.Sub(started) < youngFor || age > versionhistory.MaxAge {
			recent, _ := d.Versions.Snapshot(now)
			d.settle(c, slices.Collect(maps.Keys(recent)))
		} else {
			d.settle(c, d.Versions.Due(now))
		}
		wait.For(c, settleInterval)
	}
}

// settle asks other boxes about those of the services with versions that aren't known to be settled.
func (d *Directory) settle(c context.Context, services []string) {
	for _, s := range services {
		if len(d.Versions.Unsettled(s, boottime.Now())) == 0 {
			continue
		}
		b := d.Boxes()
		to := rendezvous.Top(rendezvous.Hash(d.Box+s), slices.Concat(b.Near, b.Far), maxSettleQuestions)
		if r := d.Relay(); r != "" && !d.IsRelay() {
			to = append(to, r)
		}
		a, _, _ := d.askAll(c, Question{Service: s}, to, Reply{})
		d.Versions.Settle(map[string][]string{s: a.Settled}, boottime.Now())
	}
}
