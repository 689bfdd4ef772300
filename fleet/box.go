// Package fleet holds the plain structs that every role shares: boxes and the
// endpoints on them.
package fleet

import "time"

// BoxState says whether a box may be used.
type BoxState string

// The states of a box, as the box list gives them.
const (
	Live    BoxState = "live"
	Leaving BoxState = "leaving"
	Gone    BoxState = "gone"
	Stopped BoxState = "stopped"
)

// Role says what a box carries.
type Role string

// The roles of a box.
const (
	EngineRole  Role = "engine"
	ServiceRole Role = "service"
	EntryRole   Role = "entry"
)

// Box is one machine as the box list and the cloud API show it. Address is an
// IP number and a port. Deadline is set while the box is leaving.
type Box struct {
	Name        string            `json:"name"`
	DataCentre  string            `json:"data_centre"`
	Address     string            `json:"address"`
	Role        Role              `json:"role"`
	Service     string            `json:"service,omitempty"`
	Class       string            `json:"class"`
	Reclaimable bool              `json:"reclaimable"`
	State       BoxState          `json:"state"`
	Deadline    time.Time         `json:"deadline,omitzero"`
	Labels      map[string]string `json:"labels,omitempty"`
}

// Label returns the value of a label of b. Facts that the box list gives, such
// as its data centre, are labels that an operator cannot overwrite.
func (b Box) Label(name string) string {
	switch name {
	case "box":
		return b.Name
	case "data_centre":
		return b.DataCentre
	case "class":
		return b.Class
	case "supply":
		if b.Reclaimable {
			return "reclaimable"
		}
		return "on_demand"
	default:
		return b.Labels[name]
	}
}
