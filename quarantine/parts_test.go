package quarantine_test

import (
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/requesthash"
)

// Items of the simulated load: the part that all prompts share, and the parts that may crash endpoints.
const (
	sharedPart requesthash.Hash = 1 << 50
	badPart    requesthash.Hash = 1 << 51
)

// partLoad is a load of requests whose prompts share their first part. Some have another part, which crashes endpoints.
type partLoad struct {
	bad       int           // parts that crash endpoints
	perSecond float64       // requests with one of them
	answered  bool          // endpoints have answered the parts for a while before they crash
	version   string        // that crashes; empty for all
	servers   int           // endpoints
	mass      time.Duration // endpoints crash for another reason, one after the other at this interval; zero for none
	faults    bool          // boxes crash, freeze and are cut off meanwhile
}

// Times of the simulation.
const (
	badSince = 6 * time.Second  // when the parts begin to crash endpoints
	badUntil = 24 * time.Second // when their requests end
)

// playParts simulates one fleet under the load.
func playParts(seed uint64, l partLoad) *model {
	m := &model{known: 5, bad: map[requesthash.Hash]badItem{}, soundItem: sharedPart, calm: !l.faults, serverCount: l.servers}
	m.start(seed)
	if l.version != "" {
		for i, s := range m.servers {
			s.version = []string{"v1", l.version}[i%2]
		}
	}
	serial := requesthash.Hash(1 << 40)
	var sound func()
	sound = func() {
		serial++
		m.submit(serial, sharedPart)
		m.schedule(m.randomDuration(0, 40*time.Millisecond), sound)
	}
	m.schedule(0, sound)
	for i := range l.bad {
		p := badPart + requesthash.Hash(i)
		m.bad[p] = badItem{l.version, badSince}
		var send func()
		send = func() {
			serial++
			m.submit(serial, sharedPart, p)
			if m.now < badUntil {
				m.schedule(m.randomDuration(0, time.Duration(2/l.perSecond*float64(time.Second))), send)
			}
		}
		first := badSince
		if l.answered {
			first = 0
		}
		m.schedule(first, send)
	}
	if l.mass > 0 {
		for i := range 6 {
			m.schedule(10*time.Second+time.Duration(i)*l.mass, func() { m.crashServer(m.servers[i]) })
			m.schedule(15*time.Second+time.Duration(i)*l.mass, func() { m.crashServer(m.servers[i]) })
		}
	}
	m.play()
	return m
}

var partLoads = map[string]partLoad{
	"fresh":                    {bad: 1, perSecond: 8},
	"fresh, rare":              {bad: 1, perSecond: 1.7},
	"fresh, faults":            {bad: 1, perSecond: 8, faults: true},
	"two":                      {bad: 2, perSecond: 8},
	"answered before":          {bad: 1, perSecond: 8, answered: true},
	"answered before, rare":    {bad: 1, perSecond: 1.7, answered: true},
	"two, answered before":     {bad: 2, perSecond: 8, answered: true},
	"one version":              {bad: 1, perSecond: 8, version: "v2"},
	"one version, answered":    {bad: 1, perSecond: 8, version: "v2", answered: true},
	"answered before, faults":  {bad: 1, perSecond: 8, answered: true, faults: true},
	"none":                     {faults: true},
	"none, together":           {mass: time.Millisecond},
	"none, one by one":         {mass: 300 * time.Millisecond},
	"few endpoints":            {bad: 1, perSecond: 8, servers: 5},
	"few endpoints, answered":  {bad: 1, perSecond: 8, servers: 5, answered: true},
	"fresh, other crashes too": {bad: 1, perSecond: 8, mass: 300 * time.Millisecond},
}

// A part that crashes each endpoint is sent at most three more times later than settleTime after its fifth crash,
// however popular the parts are that it comes with, and the requests that share these are served meanwhile. Where
// endpoints crash for other reasons, almost nothing is refused.
func TestPartsThatCrashEndpoints(t *testing.T) {
	runs := partRuns
	if v := os.Getenv("PART_SEEDS"); v != "" {
		var err error
		runs, err = strconv.Atoi(v)
		require.NoError(t, err)
	}
	for name, l := range partLoads {
		t.Run(name, func(t *testing.T) {
			refused, sent, crashes := 0, 0, 0
			for seed := range uint64(runs) {
				m := playParts(seed, l)
				for h, n := range m.lateSends {
					require.LessOrEqual(t, n, maxLateSends, "seed %d: part %x, %d endpoints crashed", seed, uint64(h), m.crashes[h])
				}
				if l.bad > 0 && !l.faults {
					require.GreaterOrEqual(t, m.soundLate.sent, m.soundLate.refused, "seed %d", seed)
				}
				refused += m.refused
				sent += m.sent
				for _, n := range m.crashes {
					crashes = max(crashes, n)
				}
			}
			if l.bad == 0 {
				require.LessOrEqual(t, refused*minSentPerRefusedInAll, sent, "%d of %d sound requests refused", refused, sent)
			}
			t.Logf("sound requests: %d sent, %d refused; crashes: %d at most", sent, refused, crashes)
		})
	}
}

// partRuns is the number of simulated fleets for each load, unless PART_SEEDS has another.
const partRuns = 2
