// Package fleet defines the types for boxes and the endpoints on them.
package fleet

import "time"

// BoxState is the state of a box. Only a Live box receives new work.
type BoxState string

// The states of a box in the box list. A Leaving box is being reclaimed and a Gone box has been
// removed. A Stopped box can be started.
const (
	Live    BoxState = "live"
	Leaving BoxState = "leaving"
	Gone    BoxState = "gone"
	Stopped BoxState = "stopped"
)

// Role is what a box runs: an inference engine, a plain service or the entry daemon.
type Role string

// The roles of a box.
const (
	EngineRole  Role = "engine"
	ServiceRole Role = "service"
	EntryRole   Role = "entry"
)

// Box is a machine as listed by the box list and the cloud API. Address is an IP address and a
// port. Deadline is set while the box is leaving.
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

// SoftwareLabel is the label with the software version of an engine. Streams continue only at engines with the same value. All
// engines without the label count as being of one version.
const SoftwareLabel = "software"

// Label returns the value of a label, or "" if b lacks it. The labels box, data_centre, class and
// supply come from the box list, and Labels cannot override them.
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
