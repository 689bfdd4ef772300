// Package cloud speaks the cloud API's published protocol.
package cloud

import "time"

// Price is what one kind of box costs and how many more there are.
type Price struct {
	DataCentre  string  `json:"data_centre"`
	Class       string  `json:"class"`
	Reclaimable bool    `json:"reclaimable"`
	PerHour     float64 `json:"per_hour"`
	Supply      int     `json:"supply"`
}

// Notice asks that boxes leave. It names boxes, or all reclaimable boxes of a
// data centre.
type Notice struct {
	Boxes      []string      `json:"boxes"`
	DataCentre string        `json:"data_centre"`
	In         time.Duration `json:"in"`
}

// Start asks for a box of a kind.
type Start struct {
	DataCentre  string `json:"data_centre"`
	Class       string `json:"class"`
	Reclaimable bool   `json:"reclaimable"`
}
