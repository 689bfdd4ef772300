package settings

import (
	"fmt"
	"os"
	"slices"
	"time"

	"birchlink.dev/birchlink/iniread"
)

// Entry is what an entry box on the users' platform knows before it asks anybody.
type Entry struct {
	Box        string
	DataCentre string

	Callers string // where callers connect
	Ready   string // where the balancer asks
	Peers   string // where other boxes connect
	Metrics string // where metrics are read; empty for nowhere
	Seeds   []string

	// First is set on the first start of the whole system.
	First bool

	// LinkMbps is the rate of the box's link in Mbit/s; zero if it is not known.
	LinkMbps float64

	Store string
	Cloud string

	// Orders and Usage say which duties towards the cloud there are.
	Orders bool
	Usage  bool

	StopLimit time.Duration

	// The bounds on repeats of a service's requests, over all boxes together.
	RetryRatio  float64
	RetryWindow time.Duration
	RetrySlack  float64

	// An account may spend its rate over QuotaWindow and its burst in each such
	// window. Summed over all boxes it may be over that by the part QuotaOverage
	// and by QuotaSlack units.
	QuotaWindow  time.Duration
	QuotaOverage float64
	QuotaSlack   float64

	// Lease is within how long two holders of a duty must not act by turns. A
	// usage window is reported at the latest ReportDue after its end.
	Lease        time.Duration
	ReportWindow time.Duration
	ReportDue    time.Duration

	// RolloutShare is the part of a service's requests that a new version of its endpoints may
	// get before it has been seen to be good.
	RolloutShare float64

	LogLevel string
}

// maxTolerance bounds the tolerance, in units of a rate.
const maxTolerance = 1_000_000_000

// The words of a setting that holds or does not.
const (
	yes = "yes"
	no  = "no"
)

// maxLink bounds the rate of a link in Mbit/s: none is so fast.
const maxLink = 1e6

// LoadEntry reads and checks a file. The error joins every mistake in it.
func LoadEntry(path string) (Entry, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return Entry{}, fmt.Errorf("read settings: %w", err)
	}
	return ParseEntry(b)
}

// ParseEntry reads and checks the text of a file. The error joins every mistake.
func ParseEntry(text []byte) (Entry, error) {
	r := iniread.New(text)
	duties := r.List("cloud", "duties")
	s := Entry{
		Box:          r.Required("box", "name"),
		DataCentre:   r.Required("box", "data_centre"),
		Callers:      r.Address("listen", "callers"),
		Ready:        r.Address("listen", "ready"),
		Peers:        r.Address("listen", "peers"),
		Metrics:      r.String("listen", "metrics", ""),
		Seeds:        r.Addresses("peers", "seeds"),
		First:        r.Choice("box", "first_start", no, no, yes) == yes,
		LinkMbps:     r.Float("box", "link_mbps", 0, 0, maxLink),
		Store:        r.Address("store", "address"),
		Orders:       slices.Contains(duties, "scale"),
		Usage:        slices.Contains(duties, "usage"),
		StopLimit:    r.Duration("stop", "limit", 8*time.Second, time.Second, time.Hour),
		RetryRatio:   r.Float("retries", "ratio", 0.2, 0, 10),
		RetryWindow:  r.Duration("retries", "window", 10*time.Second, time.Second, time.Hour),
		RetrySlack:   r.Float("retries", "slack", 0, 0, maxRequests),
		QuotaWindow:  r.Duration("quota", "window", 8*time.Second, time.Second, time.Hour),
		QuotaOverage: r.Float("quota", "overage", 0, 0, 10),
		QuotaSlack:   r.Float("quota", "slack", 0, 0, maxTolerance),
		Lease:        r.Duration("duties", "lease", 3*time.Second, time.Second, time.Hour),
		ReportWindow: r.Duration("duties", "report_window", 5*time.Second, time.Second, time.Hour),
		ReportDue:    r.Duration("duties", "report_due", 10*time.Second, time.Second, time.Hour),
		RolloutShare: r.Float("rollout", "share", 0.1, 0, 1),
		LogLevel:     r.Choice("log", "level", "info", "debug", "info", "warn", "error"),
	}
	if len(duties) > 0 {
		s.Cloud = r.Address("cloud", "address")
	} else {
		r.String("cloud", "address", "")
	}
	return s, iniread.Join(r.Finish())
}
