// Package settings reads and validates the settings file of an entry box. There are two forms:
// Settings for a box that serves birchlink's own API, and PlatformSettings for one on the users'
// platform.
package settings

import (
	"fmt"
	"os"
	"time"

	"birchlink.dev/birchlink/iniread"
)

// Settings holds the settings of a box that serves birchlink's own API. Addresses are IP addresses
// with ports.
type Settings struct {
	Box        string
	DataCentre string

	Callers string // listen address for callers
	Peers   string // listen address for other boxes
	Admin   string // listen address for operators

	KV      string // address of the key-value store
	BoxList string // address of the box list
	Cloud   string // address of the cloud API

	Seeds     []string // peer addresses of other boxes
	Advertise string   // address at which other boxes reach Peers
	Secret    string   // shared by all boxes

	OperatorKey string

	MaxBody        int // in bytes
	MaxRequests    int // concurrent requests
	MaxHeldAnswers int // finished answers kept in memory

	StopNotice time.Duration // how long connections are still accepted during a stop
	StopLimit  time.Duration // bounds the duration of a stop
	ClaimSlots int           // number of claim pages
	ClaimTTL   time.Duration // lifetime of claims, and of records of idempotency keys and tickets
	WriteRate  int           // writes per second to the key-value store
	ReadRate   int           // reads per second from the key-value store

	Policy   string // routing policy
	LogLevel string
}

// Load reads and validates a settings file. The error joins all mistakes in the file.
func Load(path string) (Settings, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, fmt.Errorf("read settings: %w", err)
	}
	return Parse(b)
}

// Parse parses and validates the text of a settings file. The error joins all mistakes in it.
func Parse(text []byte) (Settings, error) {
	r := iniread.New(text)
	s := readSettings(r)
	return s, iniread.Join(r.Finish())
}

// Bounds of the settings.
const (
	day         = 24 * time.Hour
	maxBody     = 8 << 20 // in bytes
	maxRequests = 100_000
	maxRate     = 10_000 // per second
	minSecret   = 16     // in bytes
)

func readSettings(r *iniread.Reader) Settings {
	s := Settings{
		Box:            r.Required("box", "name"),
		DataCentre:     r.Required("box", "data_centre"),
		Callers:        r.Address("listen", "callers"),
		Peers:          r.Address("listen", "peers"),
		Admin:          r.Address("listen", "admin"),
		KV:             r.Address("platform", "kv"),
		BoxList:        r.Address("platform", "box_list"),
		Cloud:          r.Address("platform", "cloud"),
		Seeds:          r.Addresses("peers", "seeds"),
		Secret:         r.Required("peers", "secret"),
		OperatorKey:    r.Required("operator", "key"),
		MaxBody:        r.Int("limits", "max_body", 1<<20, 1<<10, maxBody),
		MaxRequests:    r.Int("limits", "max_requests", 2000, 1, maxRequests),
		MaxHeldAnswers: r.Int("limits", "max_held_answers", 4000, 1, maxRequests),
		StopNotice:     r.Duration("stop", "notice", 2*time.Second, 0, time.Minute),
		StopLimit:      r.Duration("stop", "limit", time.Minute, time.Second, time.Hour),
		ClaimSlots:     r.Int("claims", "slots", 64, 1, 1024),
		ClaimTTL:       r.Duration("claims", "ttl", time.Hour, time.Minute, day),
		WriteRate:      r.Int("platform", "writes_per_second", 10, 1, maxRate),
		ReadRate:       r.Int("platform", "reads_per_second", 20, 1, maxRate),
		Policy:         r.Choice("routing", "policy", "affinity", "affinity", "least_loaded", "round_robin", "random"),
		LogLevel:       r.Choice("log", "level", "info", "debug", "info", "warn", "error"),
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
