package settings

import (
	"fmt"
	"os"
	"slices"
	"time"

	"birchlink.dev/birchlink/iniread"
)

// PlatformSettings holds the settings of an entry box on the users' platform. Addresses are IP
// addresses with ports.
type PlatformSettings struct {
	Box        string
	DataCentre string

	Callers string   // listen address for callers
	Ready   string   // listen address for the readiness checks of the load balancer
	Peers   string   // listen address for other boxes
	Metrics string   // listen address for metrics; empty disables them
	Seeds   []string // peer addresses of other boxes

	Advertise string // address at which other boxes reach Peers

	// FirstStart is set at the first start of the deployment.
	FirstStart bool

	// LinkMbps is the bandwidth of the box's link in Mbit/s; zero if unknown.
	LinkMbps float64

	Store string // address of the store
	Cloud string // address of the cloud API; empty without Autoscale and ReportUsage

	// Autoscale makes the leader order endpoints from the cloud, and ReportUsage makes it report the
	// accounts' requests to the cloud.
	Autoscale   bool
	ReportUsage bool

	// StopLimit bounds the duration of a stop.
	StopLimit time.Duration

	// All boxes together retry at most RetryRatio times the requests of a service, plus RetrySlack,
	// in each RetryWindow.
	RetryRatio  float64
	RetryWindow time.Duration
	RetrySlack  float64

	// In each QuotaWindow, an account may use its rate over the window and its burst. All boxes
	// together may exceed that by the fraction QuotaOverage and by QuotaSlack units.
	QuotaWindow  time.Duration
	QuotaOverage float64
	QuotaSlack   float64

	// QuotaReserve admits requests of routes that are small for their account from a reserve, and
	// QuotaReturnTimes keeps places for refused requests that can return in time.
	QuotaReserve     bool
	QuotaReturnTimes bool

	// Lease is the period within which two leaders must not act alternately. The usage of each
	// ReportWindow is reported at the latest ReportDue after the end of the window.
	Lease        time.Duration
	ReportWindow time.Duration
	ReportDue    time.Duration

	// RolloutShare is the fraction of a service's requests that a new version of its endpoints may
	// receive before it is judged good.
	RolloutShare float64

	// EndpointSpeeds makes choices of endpoints take their measured speeds into account.
	EndpointSpeeds bool
	// MoveRequests moves running requests away from endpoints that announce their end.
	MoveRequests bool
	// DeadlineCheck refuses requests that no endpoint can begin before their deadline.
	DeadlineCheck bool

	LogLevel string
}

// maxQuotaSlack bounds QuotaSlack, in units of a rate.
const maxQuotaSlack = 1_000_000_000

// The values of a boolean setting.
const (
	yes = "yes"
	no  = "no"
)

// maxLinkMbps bounds LinkMbps. No link of a box is faster.
const maxLinkMbps = 1e6

// LoadPlatform reads and validates a settings file. The error joins all mistakes in the file.
func LoadPlatform(path string) (PlatformSettings, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return PlatformSettings{}, fmt.Errorf("read settings: %w", err)
	}
	return ParsePlatform(b)
}

// ParsePlatform parses and validates the text of a settings file. The error joins all mistakes in it.
func ParsePlatform(text []byte) (PlatformSettings, error) {
	r := iniread.New(text)
	duties := r.List("cloud", "duties")
	s := PlatformSettings{
		Box:          r.Required("box", "name"),
		DataCentre:   r.Required("box", "data_centre"),
		Callers:      r.Address("listen", "callers"),
		Ready:        r.Address("listen", "ready"),
		Peers:        r.Address("listen", "peers"),
		Metrics:      r.String("listen", "metrics", ""),
		Seeds:        r.Addresses("peers", "seeds"),
		FirstStart:   r.Choice("box", "first_start", no, no, yes) == yes,
		LinkMbps:     r.Float("box", "link_mbps", 0, 0, maxLinkMbps),
		Store:        r.Address("store", "address"),
		Autoscale:    slices.Contains(duties, "scale"),
		ReportUsage:  slices.Contains(duties, "usage"),
		StopLimit:    r.Duration("stop", "limit", 8*time.Second, time.Second, time.Hour),
		RetryRatio:   r.Float("retries", "ratio", 0.2, 0, 10),
		RetryWindow:  r.Duration("retries", "window", 10*time.Second, time.Second, time.Hour),
		RetrySlack:   r.Float("retries", "slack", 0, 0, maxRequests),
		QuotaWindow:  r.Duration("quota", "window", 8*time.Second, time.Second, time.Hour),
		QuotaOverage: r.Float("quota", "overage", 0, 0, 10),
		QuotaSlack:   r.Float("quota", "slack", 0, 0, maxQuotaSlack),

		QuotaReserve:     r.Choice("quota", "reserve", no, no, yes) == yes,
		QuotaReturnTimes: r.Choice("quota", "return_times", no, no, yes) == yes,

		Lease:        r.Duration("duties", "lease", 3*time.Second, time.Second, time.Hour),
		ReportWindow: r.Duration("duties", "report_window", 5*time.Second, time.Second, time.Hour),
		ReportDue:    r.Duration("duties", "report_due", 10*time.Second, time.Second, time.Hour),
		RolloutShare: r.Float("rollout", "share", 0.1, 0, 1),
		MoveRequests: r.Choice("reclaim", "move_requests", no, no, yes) == yes,
		LogLevel:     r.Choice("log", "level", "info", "debug", "info", "warn", "error"),
	}
	s.Advertise = s.Peers
	if r.String("peers", "advertise", "") != "" {
		s.Advertise = r.Address("peers", "advertise")
	}
	s.EndpointSpeeds = r.Choice("balance", "endpoint_speeds", no, no, yes) == yes
	s.DeadlineCheck = r.Choice("admission", "deadline_check", no, no, yes) == yes
	if len(duties) > 0 {
		s.Cloud = r.Address("cloud", "address")
	} else {
		r.String("cloud", "address", "")
	}
	return s, iniread.Join(r.Finish())
}
