// Package placement decides which workloads run on which engines of a data
// centre, and which boxes to start and stop. It does no I/O: a [Planner] turns
// an [Input] into a [Plan], which gives the reason for each decision.
package placement

import (
	"birchlink.dev/birchlink/cloud"
	"birchlink.dev/birchlink/config"
	"birchlink.dev/birchlink/fleet"
)

// Input holds what a plan is computed from. Demand is the number of concurrent
// streams wanted of each workload. MaxLoads is how many loads the weight store
// can serve at once. Refused lists the kinds of boxes that the cloud refused
// recently. Classes is keyed by the name of a class of engines.
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

// Class is the measured capacity of an engine of a class: the streams that it
// runs at once, and the speed of each stream.
type Class struct {
	Slots           int
	TokensPerSecond float64
}

// Unmet is a requirement that the plan does not satisfy. Selector is the
// selector that prevents it, if one does. Workload is empty if the requirement
// concerns boxes rather than a workload.
type Unmet struct {
	Workload string `json:"workload"`
	Selector string `json:"selector,omitempty"`
	Reason   string `json:"reason"`
}

// Assignment is the set of workloads that one engine should have loaded.
// Workloads is the whole set, including Load and Keep. Load lists the workloads
// to fetch now, Later those that wait for capacity of the weight store, and Keep
// those that stay only until other engines have loaded them.
type Assignment struct {
	Box       string   `json:"box"`
	Workloads []string `json:"workloads"`
	Load      []string `json:"load,omitempty"`
	Later     []string `json:"later,omitempty"`
	Keep      []string `json:"keep,omitempty"`
	Reason    string   `json:"reason"`
}

// Plan is the result of a [Planner]. Start lists the boxes to start, one entry
// for each, and Stop names the boxes to stop. Cost is the price per hour of the
// usable engines and of the boxes in Start.
type Plan struct {
	Assignments []Assignment  `json:"assignments"`
	Start       []cloud.Start `json:"start,omitempty"`
	Stop        []string      `json:"stop,omitempty"`
	Unmet       []Unmet       `json:"unmet,omitempty"`
	Cost        float64       `json:"cost"`
}

// Planner computes plans.
type Planner interface {
	Plan(in Input) Plan
}
