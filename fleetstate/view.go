package fleetstate

import (
	"sync"
	"time"

	"birchlink.dev/birchlink/boottime"
	"birchlink.dev/birchlink/lag"
	"birchlink.dev/birchlink/viewage"
)

// view is what a box knows of how up to date its copy of some state is.
type view struct {
	age *viewage.Age
	lag lag.Lag

	mu          sync.Mutex
	unconfirmed confirmation
}

// confirmation says that a version, as another box had it, was that of the store at a time.
type confirmation struct {
	version uint64
	at      time.Time // zero for none
}

// confirm records that the copy had all changes made up to a time.
func (v *view) confirm(at time.Time) {
	v.age.Confirm(at)
	v.lag.Confirm(at)
}

// confirmBy records a confirmation, which counts once this box has the version. Own is the version that it has now. It returns
// the last time that was confirmed; zero if none was.
func (v *view) confirmBy(c confirmation, own uint64) time.Time {
	v.mu.Lock()
	defer v.mu.Unlock()
	var at time.Time
	// While changes never end, this box never has what another one has at the same time, but soon after.
	for _, x := range []confirmation{v.unconfirmed, c} {
		if !x.at.IsZero() && own >= x.version {
			v.confirm(x.at)
			if x.at.After(at) {
				at = x.at
			}
		}
	}
	if own >= c.version {
		c = confirmation{}
	}
	if v.unconfirmed.at.IsZero() || own >= v.unconfirmed.version {
		v.unconfirmed = c
	}
	return at
}

// ViewAge returns the time since the configuration and the records were last known to have all changes in the store.
func (s *Service) ViewAge() time.Duration { return max(s.ConfigAge(), s.RecordsAge()) }

// unknownAge is the age that others are told of a view that was never confirmed.
const unknownAge = time.Hour

// ReportedAge returns the age of the view for other boxes, which has no meaning before it was confirmed.
func (s *Service) ReportedAge() time.Duration {
	config, isConfirmed := s.configView.age.Confirmed()
	records, areConfirmed := s.recordsView.age.Confirmed()
	if !isConfirmed || !areConfirmed {
		return unknownAge
	}
	return max(config, records)
}

// RecordsAge returns the time since the endpoint records were last known to have all changes in the store.
func (s *Service) RecordsAge() time.Duration { return s.recordsView.age.Get() }

// ConfigAge returns the time since the configuration was last known to be the newest one.
func (s *Service) ConfigAge() time.Duration { return s.configView.age.Get() }

// ConfigConfirmed reports whether the configuration was ever known to be the newest one. A box that has just started may have
// that of another box, which may be old.
func (s *Service) ConfigConfirmed() bool { return s.configView.age.IsConfirmed() }

// ConfigLag returns for how long a newer configuration than that in force has been known to exist; zero if none is.
func (s *Service) ConfigLag() time.Duration { return s.configView.lag.Get() }

// RecordsLag returns for how long newer endpoint records than this box's have been known to exist; zero if none are.
func (s *Service) RecordsLag() time.Duration { return s.recordsView.lag.Get() }

// Announce records that another box has a configuration and records of a revision.
func (s *Service) Announce(version, revision uint64) {
	s.configView.lag.Announce(version)
	s.recordsView.lag.Announce(revision)
}

// ConfirmView records that another box, which had a configuration and records of a revision, had all changes in the store
// some time ago. The age must include the time for which that box's message may have been under way. If this box has them too, now or at a later call, its view is no older.
func (s *Service) ConfirmView(version, revision uint64, age time.Duration) {
	at := boottime.Now().Add(-age)
	own, _ := s.RawConfig()
	s.configView.confirmBy(confirmation{version, at}, own)
	s.applyMu.Lock()
	defer s.applyMu.Unlock()
	if at := s.recordsView.confirmBy(confirmation{revision, at}, s.Revision()); !at.IsZero() {
		s.Roster.Versions.Confirm(at)
	}
}
