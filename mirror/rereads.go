package mirror

import (
	"time"

	"birchlink.dev/birchlink/boottime"
)

// rereadLogInterval is the shortest interval at which reads of all keys are logged.
const rereadLogInterval = time.Second

// rereads counts the reads of all keys since the last one that was logged.
type rereads struct {
	count    int
	loggedAt time.Time
}

// logReread logs that all keys are read instead of their changes.
func (m *Mirror) logReread(revision uint64, err error) {
	r := &m.rereads
	r.count++
	if now := boottime.Now(); r.loggedAt.IsZero() || now.Sub(r.loggedAt) >= rereadLogInterval {
		m.Log.Info().Str("event", "watch").Str("prefix", m.Prefix).Uint64("revision", revision).Int("limit", m.sizes.watchLimit()).
			Int("rereads", r.count).Err(err).Msg("reading all keys instead of many changes")
		*r = rereads{loggedAt: now}
	}
}
