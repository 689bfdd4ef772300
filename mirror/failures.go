package mirror

import (
	"context"
	"time"

	"birchlink.dev/birchlink/boottime"
)

// failureLogInterval is the interval at which calls that keep failing are logged.
const failureLogInterval = 10 * time.Second

// failures is a series of failed calls.
type failures struct {
	count           int
	began, loggedAt time.Time
}

// logFailure logs a failed call if it is the first of a series or the last logged one is long ago. Interrupted calls have not failed.
func (m *Mirror) logFailure(call context.Context, revision uint64, err error) {
	if call.Err() != nil {
		return
	}
	now := boottime.Now()
	f := &m.failures
	if f.count == 0 {
		f.began = now
	}
	f.count++
	if f.count > 1 && now.Sub(f.loggedAt) < failureLogInterval {
		return
	}
	f.loggedAt = now
	m.Log.Info().Str("event", "watch").Str("prefix", m.Prefix).Uint64("revision", revision).Int("failures", f.count).
		Dur("for", now.Sub(f.began)).Err(err).Msg("store call failed; retrying")
}

// logRecovery logs the end of a series of failed calls.
func (m *Mirror) logRecovery(revision uint64) {
	f := &m.failures
	if f.count > 0 {
		m.Log.Info().Str("event", "watch").Str("prefix", m.Prefix).Uint64("revision", revision).Int("failures", f.count).
			Dur("for", boottime.Since(f.began)).Msg("the store's changes are read again")
	}
	*f = failures{}
}

// confirm reports that all changes up to a time have been applied.
func (m *Mirror) confirm(at time.Time) {
	if m.OnCurrent != nil {
		m.OnCurrent(at)
	}
}
