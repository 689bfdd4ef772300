// Package settings reads the settings of one entry box.
package settings

import (
	"fmt"
	"os"
	"time"

	"birchlink.dev/birchlink/iniread"
)

// Settings is what a box knows before it asks anybody.
type Settings struct {
	Box        string
	DataCentre string

	Callers string
	Peers   string
	Admin   string

	KV      string
	BoxList string
	Cloud   string

	Seeds     []string
	Advertise string
	Secret    string

	OperatorKey string

	MaxBody     int
	MaxRequests int
	MaxHeld     int

	StopNotice time.Duration
	StopLimit  time.Duration
	ClaimSlots int
	ClaimTTL   time.Duration
	WriteRate  int
	ReadRate   int

	Policy   string
	LogLevel string
}

// Load reads and checks a file. The error joins every mistake in it.
func Load(path string) (Settings, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, fmt.Errorf("read settings: %w", err)
	}
	return Parse(b)
}

// Parse reads and checks the text of a file. The error joins every mistake.
func Parse(text []byte) (Settings, error) {
	r := iniread.New(text)
	s := read(r)
	return s, iniread.Join(r.Finish())
}

// The bounds of the numbers in the file.
const (
	day         = 24 * time.Hour
	maxBody     = 8 << 20
	maxRequests = 100_000
	maxRate     = 10_000
	minSecret   = 16
)

func read(r *iniread.Reader) Settings {
	s := Settings{
		Box:         r.Required("box", "name"),
		DataCentre:  r.Required("box", "data_centre"),
		Callers:     r.Address("listen", "callers"),
		Peers:       r.Address("listen", "peers"),
		Admin:       r.Address("listen", "admin"),
		KV:          r.Address("platform", "kv"),
		BoxList:     r.Address("platform", "box_list"),
		Cloud:       r.Address("platform", "cloud"),
		Seeds:       r.Addresses("peers", "seeds"),
		Secret:      r.Required("peers", "secret"),
		OperatorKey: r.Required("operator", "key"),
		MaxBody:     r.Int("limits", "max_body", 1<<20, 1<<10, maxBody),
		MaxRequests: r.Int("limits", "max_requests", 2000, 1, maxRequests),
		MaxHeld:     r.Int("limits", "max_held_answers", 4000, 1, maxRequests),
		StopNotice:  r.Duration("stop", "notice", 2*time.Second, 0, time.Minute),
		StopLimit:   r.Duration("stop", "limit", time.Minute, time.Second, time.Hour),
		ClaimSlots:  r.Int("claims", "slots", 64, 1, 1024),
		ClaimTTL:    r.Duration("claims", "ttl", time.Hour, time.Minute, day),
		WriteRate:   r.Int("platform", "writes_per_second", 10, 1, maxRate),
		ReadRate:    r.Int("platform", "reads_per_second", 20, 1, maxRate),
		Policy:      r.Choice("routing", "policy", "affinity", "affinity", "least_loaded", "round_robin", "random"),
		LogLevel:    r.Choice("log", "level", "info", "debug", "info", "warn", "error"),
	}
	s.Advertise = s.Peers
	if r.String("peers", "advertise", "") != "" {
		s.Advertise = r.Address("peers", "advertise")
	}
	if len(s.Secret) < minSecret && s.Secret != "" {
		r.AddMistake("peers", "secret", "…", fmt.Sprintf("at least %d characters", minSecret))
	}
	return s
}
