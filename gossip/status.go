// Package gossip lets the boxes tell each other what they carry. In each data
// centre a few boxes are relays: they alone watch the store, tell the others what
// changes there, and exchange sums with the relays of other data centres.
package gossip

import (
	"time"

	"birchlink.dev/birchlink/balance"
	"birchlink.dev/birchlink/demand"
	"birchlink.dev/birchlink/endpoint"
	"birchlink.dev/birchlink/estimate"
	"birchlink.dev/birchlink/known"
	"birchlink.dev/birchlink/quarantine"
	"birchlink.dev/birchlink/quota"
	"birchlink.dev/birchlink/rollout"
	"birchlink.dev/birchlink/stated"
	"birchlink.dev/birchlink/tally"
)

// Status is what one box tells its relay, or what a relay tells other relays for
// itself and its members. Boxes is for how many it speaks.
type Status struct {
	Box        string
	DataCentre string
	Address    string
	Relay      string // the relay that counts this box; any other only answers it
	Boxes      int
	Version    uint64        // of the configuration in force
	Revision   uint64        // of the endpoints' records that a relay knows
	Silent     time.Duration // for how long the store has been silent to a relay
	Limits     quota.Lease   // what this relay leases to the one that is told
	Divided    uint64        // the version by which a member divides the limits
	Leaving    bool          // the box stops
	ForItself  bool          // the relay does not speak for this member yet
	Knows      uint64        // the sum of the peers that a member was last told
	Now        time.Time     // the time of day there
	Load       map[string]balance.Load
	Works      Works                              // the endpoints whose load a member is told
	Demand     map[string]map[string]demand.Stats // by service and data centre
	Usage      []tally.Report
	Speeds     map[string]estimate.Stats     // by service, what was observed of its endpoints; none means as last told
	Members    []string                      // addresses of the boxes that a relay counts
	Suspects   []quarantine.Suspect          // what was lately learnt of contents under which endpoints end
	Judged     uint64                        // the sum of the verdicts on them that a member was last told
	Failing    map[string]balance.CallCounts // at endpoints that fail some, by the boxes of this data centre
	Leavers    endpoint.Leavers              // the endpoints that leave ahead of their records
	Rates      stated.Report                 // what endpoints take from all boxes together
	Orders     rollout.Orders                // of roll-outs, as a relay knows them
	Words      map[string]rollout.Progress   // on how far these are, by service
	Evidence   map[string]rollout.Evidence
}

// Works is the endpoints that a box works with, by ID; none are all. Sum tells one set from
// another, so that the set goes only to a relay that has another.
type Works struct {
	Sum uint64
	IDs []string
}

// World is what a box answers a member: all others together, how far it follows
// the store, and for how long the store has been silent there. Relay says that the
// box is a relay: what is told to another goes no further. Vacant says that its
// data centre lacks a relay.
type World struct {
	Relay    bool
	Vacant   bool
	Others   Status
	Arbiters []quota.Arbiter // the relays that may be asked
	Now      time.Time       // the time of day there
	Counts   map[string]int  // of the boxes that are heard, by data centre
	Division quota.Division  // if it is newer than the member's
	Revision uint64
	Silent   time.Duration
	Peers    Peers                // without the lists, if the member has those
	Verdicts []quarantine.Suspect // on contents under which endpoints end, if the member was told others
	Judged   uint64               // their sum
	Works    uint64               // the sum of the endpoints that the member named last
	Leavers  endpoint.Leavers     // the endpoints that leave ahead of their records
	Rates    stated.Report        // what endpoints take from all boxes together
	Orders   rollout.Orders       // of roll-outs
}

// update carries a configuration or records to a member.
type update struct {
	Configuration []byte
	Records       *known.Records
	Packed        []byte // records, where there are many
	From          string
}

// heard is a status and when it came. Its words are as old as they were said to be then.
type heard struct {
	Status
	at    time.Time
	ahead time.Duration // how far its time of day was ahead of this box's
}

// add sums another status up into s.
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

// addWords takes in words on roll-outs, which have aged since they came.
func (s *Status) addWords(h heard, now time.Time) {
	s.Words = rollout.MergeProgress(s.Words, h.Words, now.Sub(h.at))
}

// addFailing sums up calls at endpoints that fail some.
func (s *Status) addFailing(of map[string]balance.CallCounts) {
	if s.Failing == nil {
		s.Failing = map[string]balance.CallCounts{}
	}
	for id, c := range of {
		sum := s.Failing[id]
		s.Failing[id] = balance.CallCounts{Total: sum.Total + c.Total, Failed: sum.Failed + c.Failed}
	}
}

// keepWorks takes over the endpoints that were named last if these are the same; if they are not
// known here the box is told of all, and names them in its next round.
func (s *Status) keepWorks(old Status) {
	switch {
	case s.Works.IDs != nil:
	case s.Works.Sum == old.Works.Sum:
		s.Works = old.Works
	default:
		s.Works = Works{}
	}
}

// keepSpeeds takes over the speeds that were told last if none are told now.
func (s *Status) keepSpeeds(old Status) {
	if s.Speeds == nil {
		s.Speeds = old.Speeds
	}
}

// empty returns a status to add others to.
func empty(box, dc, address string) Status {
	return Status{
		Box: box, DataCentre: dc, Address: address, Load: map[string]balance.Load{},
		Demand: map[string]map[string]demand.Stats{}, Speeds: map[string]estimate.Stats{},
	}
}
