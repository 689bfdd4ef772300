// Package placement decides which workloads run on which engines of a data
// centre, and which boxes to hold. It does no I/O: the facts go in, the plan
// with its reasons comes out.
package placement

import (
	"birchlink.dev/birchlink/cloud"
	"birchlink.dev/birchlink/config"
	"birchlink.dev/birchlink/fleet"
)

// Input is what a plan rests on. Demand counts the streams wanted at once by
// workload; Loads is how many loads the weight store bears together; Refused
// names kinds of boxes that the cloud refused a little ago.
type Input struct {
	DataCentre string
	Document   *config.Document
	Endpoints  []fleet.Endpoint
	Prices     []cloud.Price
	Demand     map[string]float64
	MaxLoads   int
	Refused    []cloud.Start
	Classes    map[string]Class
}

// Class is what an engine of a class can do, as it was measured.
type Class struct {
	Slots           int
	TokensPerSecond float64
}

// Unmet says what the plan could not do, and which selector stood in the way.
type Unmet struct {
	Workload string `json:"workload"`
	Selector string `json:"selector,omitempty"`
	Reason   string `json:"reason"`
}

// Assignment is what one engine shall have loaded. Load names what it must
// fetch now, Later what waits for the weight store, Keep what it keeps only
// until others have loaded it.
type Assignment struct {
	Box       string   `json:"box"`
	Workloads []string `json:"workloads"`
	Load      []string `json:"load,omitempty"`
	Later     []string `json:"later,omitempty"`
	Keep      []string `json:"keep,omitempty"`
	Reason    string   `json:"reason"`
}

// Plan is the decision. Cost is per hour, of the boxes held after Start and
// Stop.
type Plan struct {
	Assignments []Assignment  `json:"assignments"`
	Start       []cloud.Start `json:"start,omitempty"`
	Stop        []string      `json:"stop,omitempty"`
	Unmet       []Unmet       `json:"unmet,omitempty"`
	Cost        float64       `json:"cost"`
}

// Planner makes plans.
type Planner interface {
	Plan(in Input) Plan
}
