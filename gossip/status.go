// Package gossip exchanges state between boxes: load, demand, limits and what was learned about
// endpoints. In each data centre a few boxes are relays. Some relays watch the store and push its
// changes to the other boxes. Every box reports to one relay of its data centre, and the relays
// exchange sums of these reports.
package gossip

import (
	"time"

	"birchlink.dev/birchlink/balance"
	"birchlink.dev/birchlink/demand"
	"birchlink.dev/birchlink/endpoint"
	"birchlink.dev/birchlink/endpointlimit"
	"birchlink.dev/birchlink/estimate"
	"birchlink.dev/birchlink/fleetstate"
	"birchlink.dev/birchlink/numbering"
	"birchlink.dev/birchlink/quarantine"
	"birchlink.dev/birchlink/quota"
	"birchlink.dev/birchlink/rollout"
	"birchlink.dev/birchlink/speed"
	"birchlink.dev/birchlink/usage"
)

// Status is the report of one box to its relay, or of a relay to other relays for itself and its
// members. Boxes is the number of boxes that it covers.
type Status struct {
	Box        string
	DataCentre string
	Address    string
	Relay      string // the relay that represents this box; any other relay only answers
	Boxes      int
	Version    uint64        // of the current configuration
	Revision   uint64        // of the endpoint records
	Silent     time.Duration // time since the store last answered a relay
	ViewAge    time.Duration // of a relay's configuration and records, when it sent this
	Watching   bool          // the relay watches the store
	// AnswersView is set if the relay answers questions for its view.
	AnswersView bool        `msgpack:",omitempty"`
	Resting     bool        // the relay leaves watching to others
	Limits      quota.Lease // what this relay leases to the receiver
	Divided     uint64      // version of the division of limits that a member uses
	Leaving     bool        // the box is stopping
	ForItself   bool        // the relay doesn't represent this member yet
	Knows       uint64      // checksum of the peers that a member knows
	Now         time.Time   // the sender's time of day
	Load        map[string]balance.Load
	Works       EndpointSet                        // the endpoints for which a member needs load reports
	Demand      map[string]map[string]demand.Stats // by service and data centre
	Usage       []usage.Report
	Speeds      map[string]estimate.Stats     // endpoint statistics by service; nil means unchanged
	Members     []string                      // addresses of the boxes that a relay represents
	Suspects    []quarantine.Suspect          // recent suspicions of contents that may crash endpoints
	Judged      uint64                        // checksum of the verdicts on contents that a member knows
	Failing     map[string]balance.CallCounts // calls to endpoints with failures, from boxes of this data centre
	Leavers     endpoint.DrainingSet          // draining endpoints whose records don't say so yet
	Rates       endpointlimit.Report          // request rates that endpoints accept from all boxes together
	Numbering   numbering.Report              // how services number their events
	Orders      rollout.Orders                // of rollouts; set by relays
	Words       map[string]rollout.Progress   // progress of rollouts, by service
	Evidence    map[string]rollout.Evidence

	// Records are the changes that the relay which is answered lacks, if they are few.
	Records *fleetstate.Records `msgpack:",omitempty"`

	// SpeedSamples are new samples of endpoints' speeds, and SpeedsSeen the sequence of the last
	// MemberReply.SpeedSamples that a member got.
	SpeedSamples []speed.Entry `msgpack:",omitempty"`
	SpeedsSeen   uint64        `msgpack:",omitempty"`
}

// EndpointSet holds the IDs of the endpoints that a box uses; none means all. Sum is a checksum of
// the set, so that the IDs are sent only to a relay that has another set.
type EndpointSet struct {
	Sum uint64
	IDs []string
}

// MemberReply is the answer to a member: the sum of all other boxes, the state of the store there,
// and Silent, the time since the store last answered. Relay is set if the answering box is a relay;
// other boxes don't forward what they receive. Vacant is set if its data centre lacks a relay.
type MemberReply struct {
	Relay     bool
	Vacant    bool
	Others    Status
	Arbiters  []quota.Arbiter // relays that can be asked to admit requests of accounts
	Now       time.Time       // the sender's time of day
	Counts    map[string]int  // reachable boxes by data centre
	Division  quota.Division  // set if it is newer than the member's
	Revision  uint64
	Silent    time.Duration
	ViewAge   time.Duration
	ViewLag   time.Duration        // how long the relay's view has been old although the store answers it
	Peers     Peers                // without the lists if the member has them
	Verdicts  []quarantine.Suspect // on contents that crash endpoints; nil if the member has them
	Judged    uint64               // checksum of Verdicts
	Works     uint64               // checksum of the member's EndpointSet as known to the relay
	Leavers   endpoint.DrainingSet // draining endpoints whose records don't say so yet
	Rates     endpointlimit.Report // request rates that endpoints accept from all boxes together
	Numbering numbering.Report     // how services number their events
	Orders    rollout.Orders       // of rollouts

	// Records are the changes that the member lacks, if they are few. Its relay has sent them already, but that may have been lost.
	Records *fleetstate.Records `msgpack:",omitempty"`

	// SpeedSamples are the samples of the endpoints whose speed has changed; nil if the relay doesn't
	// represent the member.
	SpeedSamples *speed.Reply `msgpack:",omitempty"`
}

// update announces that the box at Address has a configuration of Version, or records of Revision. Few changed records are
// sent along. What is larger is fetched by the receiver, which so gets the newest state only, and at its own pace.
type update struct {
	Version  uint64
	Revision uint64
	Records  *fleetstate.Records
	Address  string
}

// receivedStatus is a status and the time of its receipt. The ages of its Words refer to that time.
type receivedStatus struct {
	Status
	receivedAt  time.Time
	clockOffset time.Duration // how far the sender's clock was ahead of this box's
}

// add adds another status to the sums of s.
func (s *Status) add(o Status) {
	s.Boxes += o.Boxes
	s.Version = max(s.Version, o.Version)
	for id, l := range o.Load {
		s.Load[id] = balance.Load{Running: s.Load[id].Running + l.Running, Tokens: s.Load[id].Tokens + l.Tokens}
	}
	if o.DataCentre == s.DataCentre {
		s.addFailing(o.Failing)
	}
	for n, by := range o.Demand {
		if s.Demand[n] == nil {
			s.Demand[n] = map[string]demand.Stats{}
		}
		for dc, f := range by {
			g := s.Demand[n][dc]
			s.Demand[n][dc] = demand.Stats{Tokens: g.Tokens + f.Tokens, Running: g.Running + f.Running}
		}
	}
	s.Usage = append(s.Usage, o.Usage...)
	s.Evidence = rollout.AddEvidence(s.Evidence, o.Evidence)
	for n, v := range o.Speeds {
		sum := s.Speeds[n]
		sum.Add(v)
		s.Speeds[n] = sum
	}
}

// addProgress merges reports on rollouts, and adds the time since their receipt to their ages.
func (s *Status) addProgress(h receivedStatus, now time.Time) {
	s.Words = rollout.MergeProgress(s.Words, h.Words, now.Sub(h.receivedAt))
}

// addFailing adds up the calls to endpoints with failures.
func (s *Status) addFailing(calls map[string]balance.CallCounts) {
	if s.Failing == nil {
		s.Failing = map[string]balance.CallCounts{}
	}
	for id, c := range calls {
		sum := s.Failing[id]
		s.Failing[id] = balance.CallCounts{Total: sum.Total + c.Total, Failed: sum.Failed + c.Failed}
	}
}

// keepEndpointSet copies the endpoint IDs from the last status if the set is unchanged. If its IDs
// are unknown here, the box receives the load of all endpoints, and sends the IDs in its next round.
func (s *Status) keepEndpointSet(old Status) {
	switch {
	case s.Works.IDs != nil:
	case s.Works.Sum == old.Works.Sum:
		s.Works = old.Works
	default:
		s.Works = EndpointSet{}
	}
}

// keepStats copies the endpoint statistics from the last status if this one has none.
func (s *Status) keepStats(old Status) {
	if s.Speeds == nil {
		s.Speeds = old.Speeds
	}
}

// emptyStatus returns a status to which others can be added.
func emptyStatus(box, dc, address string) Status {
	return Status{
		Box: box, DataCentre: dc, Address: address, Load: map[string]balance.Load{},
		Demand: map[string]map[string]demand.Stats{}, Speeds: map[string]estimate.Stats{},
	}
}
