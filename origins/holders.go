package origins

import (
	"slices"

	"birchlink.dev/birchlink/rendezvous"
)

// Boxes are the other boxes that may hold records. Near are those of this data centre or, in a small fleet, all, and Far all
// others; in a large fleet, these are not known. Relays are the relays of other data centres.
type Boxes struct {
	Near, Far, Relays []string
}

// areAllKnown reports whether a record can be sent to boxes of other data centres, or there are none.
func (b Boxes) areAllKnown() bool {
	isUnknown := func(relay string) bool { return !slices.Contains(b.Near, relay) }
	return len(b.Far) > 0 || !slices.ContainsFunc(b.Relays, isUnknown)
}

const (
	// While there is only one version, a record is sent to nearCopies boxes nearby: it matters little if it is lost. Otherwise
	// it is sent to one farther off too, or to maxCopies nearby if there are no others or, in a large fleet, none are known; there
	// the relays exchange records as well.
	nearCopies = 2
	maxCopies  = 3

	// A box asks more boxes than have the record, since it knows others than the one that chose them: the boxes nearby of
	// each are different ones, and the box at which the stream began is not among those that it chose from.
	maxQuestions = maxCopies + 1
)

// receivers returns the boxes to which the record of a stream is sent. Several is set while there are several versions.
func (b Boxes) receivers(stream uint64, several bool) []string {
	switch {
	case !several:
		return rendezvous.Top(stream, b.Near, nearCopies)
	case len(b.Far) == 0:
		return rendezvous.Top(stream, b.Near, maxCopies)
	default:
		return append(rendezvous.Top(stream, b.Near, nearCopies), rendezvous.Top(stream, b.Far, 1)...)
	}
}

// holders returns the boxes that may have the record of a stream. Relay, which may be empty, is this box's relay.
func (b Boxes) holders(stream uint64, relay string) []string {
	out := rendezvous.Top(stream, b.Near, maxQuestions)
	if len(b.Far) > 0 {
		out = append(out, rendezvous.Top(stream, slices.Concat(b.Near, b.Far), maxQuestions)...)
	}
	if relay != "" {
		out = append(out, relay)
	}
	slices.Sort(out)
	return slices.Compact(out)
}
