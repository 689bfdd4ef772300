// Package gossip lets the boxes tell each other what they carry, and carries
// configurations to a box that the store does not reach.
package gossip

import (
	"time"

	"birchlink.dev/birchlink/balance"
	"birchlink.dev/birchlink/demand"
	"birchlink.dev/birchlink/quota"
	"birchlink.dev/birchlink/tally"
)

// Status is what one box tells the others.
type Status struct {
	Box        string
	DataCentre string
	Address    string
	Version    uint64 // of the configuration in force there
	Quota      quota.Told
	Load       map[string]balance.Load
	Demand     map[string]demand.Figure
	Usage      tally.Part
}

// heard is a status and when it came.
type heard struct {
	Status
	at time.Time
}
