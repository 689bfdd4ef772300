// Package cloud is a client of the cloud's published API: the box list, reclaim notices, prices, and
// starting and stopping boxes.
package cloud

import "time"

// Price is the price per hour of one kind of box, and the number of boxes that are available.
type Price struct {
	DataCentre  string  `json:"data_centre"`
	Class       string  `json:"class"`
	Reclaimable bool    `json:"reclaimable"`
	PerHour     float64 `json:"per_hour"`
	Supply      int     `json:"supply"`
}

// Notice is a reclaim notice: the named boxes, or all reclaimable boxes of a data centre, must
// leave after In.
type Notice struct {
	Boxes      []string      `json:"boxes"`
	DataCentre string        `json:"data_centre"`
	In         time.Duration `json:"in"`
}

// Start is an order for one box.
type Start struct {
	DataCentre  string `json:"data_centre"`
	Class       string `json:"class"`
	Reclaimable bool   `json:"reclaimable"`
}
