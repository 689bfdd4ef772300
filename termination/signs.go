package termination

import (
	"time"

	"birchlink.dev/birchlink/tunnel"
)

// signs are what a box knows of a process that may have ended.
type signs struct {
	departed bool          // its record says that it ends or shows another start, or is missing
	since    time.Duration // that was learned
	hasEnd   bool          // it announced when it ends
	left     time.Duration // until then; negative afterwards

	held    bool           // this box holds connections to it
	silence time.Duration  // since anything arrived on these
	outcome tunnel.Outcome // of connecting to it
}

// isOverdue reports whether the process should have ended some time ago.
func (s *signs) isOverdue() bool {
	if s.hasEnd {
		return -s.left >= endGrace
	}
	return s.departed && s.since >= assumedPeriod+endGrace
}

// isHeld reports whether the box holds connections that show that the process has not ended. The connections to a box that
// has vanished stay open.
func (s *signs) isHeld() bool { return s.held && (!s.isOverdue() || s.silence < maxSilence) }

// judge returns what the signs show.
func (s *signs) judge() Finding {
	outcome := Reason(s.outcome.String())
	switch {
	case !s.departed:
		return Finding{Running, Serves}
	case s.outcome == tunnel.Connected:
		return Finding{Running, outcome}
	case s.isHeld():
		return Finding{Unclear, Held}
	case s.hasEnd && s.left > 0:
		return Finding{Unclear, Early}
	case s.outcome == tunnel.Refused || s.outcome == tunnel.Failed && s.isOverdue():
		return Finding{Ended, outcome}
	default:
		return Finding{Unclear, outcome}
	}
}
