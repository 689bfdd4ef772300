package fleetstate

import (
	"time"

	"birchlink.dev/birchlink/boottime"
)

// confirmation says that a configuration and records, as another box had them, were those of the store at a time.
type confirmation struct {
	version, revision uint64
	at                time.Time // zero for none
}

// ViewAge returns the time since the configuration and the records were last known to have all changes in the store.
func (s *Service) ViewAge() time.Duration { return max(s.configAge.Get(), s.recordsAge.Get()) }

// ConfirmView records that another box, which had a configuration and records of a revision, had all changes in the store
// some time ago. If this box has them too, now or at a later call, its view is no older.
func (s *Service) ConfirmView(version, revision uint64, age time.Duration) {
	c := confirmation{version, revision, boottime.Now().Add(-age)}
	ownVersion, _ := s.RawConfig()
	ownRevision := s.Revision()
	isMet := func(c confirmation) bool { return ownVersion >= c.version && ownRevision >= c.revision }
	s.mu.Lock()
	defer s.mu.Unlock()
	// While changes never end, this box never has what another one has at the same time, but soon after.
	for _, x := range []confirmation{s.unconfirmed, c} {
		if !x.at.IsZero() && isMet(x) {
			s.configAge.Confirm(x.at)
			s.recordsAge.Confirm(x.at)
		}
	}
	if isMet(c) {
		c = confirmation{}
	}
	if s.unconfirmed.at.IsZero() || isMet(s.unconfirmed) {
		s.unconfirmed = c
	}
}
