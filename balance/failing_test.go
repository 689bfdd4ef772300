package balance_test

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/balance"
	"birchlink.dev/birchlink/endpoint"
)

// failing is a line of the data file: so many of the endpoints fail a part of their calls after a
// time.
type failing struct {
	boxes, endpoints, bad, percent int
	after                          time.Duration
	least                          int
}

// underWay is an attempt under way.
type underWay struct {
	end    time.Time
	entry  *balance.Entry
	failed bool
	tried  map[string]bool // the endpoints of its request
	book   *balance.Book   // of the box that has it
	counts bool            // its request came once failures could be known
}

// course is one play of a line.
type course struct {
	failing
	rnd    *rand.Rand
	books  []*balance.Book
	all    []endpoint.Endpoint
	calls  []underWay
	turn   int // requests that came
	asked  int // those that count
	served int
}

// The times of a course.
const (
	courseStep  = time.Millisecond
	courseEach  = 5   // steps from one request to the next
	courseRound = 500 // steps from one exchange between the boxes to the next
	courseTime  = 5 * time.Second
	soundTook   = 20 * time.Millisecond
	attempts    = 2

	// courseLearn is the time in which failures are seen and told: two rounds between boxes.
	courseLearn = time.Second
)

// send makes an attempt of a request.
func (c *course) send(b *balance.Book, tried map[string]bool, counts bool, now time.Time) {
	ch, ok := b.Choose(c.all, balance.Query{DataCentre: "dc0", Skip: tried, Broke: len(tried) > 0 && c.after > soundTook}, now)
	if !ok {
		return
	}
	tried[ch.Endpoint.Incarnation()] = true
	x := underWay{end: now.Add(soundTook), entry: b.Begin(ch.Endpoint, ch, now), tried: tried, book: b, counts: counts}
	if index(c.all, ch.Endpoint.ID) < c.bad && c.rnd.IntN(100) < c.percent {
		x.failed, x.end = true, now.Add(c.after)
	}
	c.calls = append(c.calls, x)
}

// end ends an attempt; what failed goes on elsewhere if it may.
func (c *course) end(x underWay, now time.Time) {
	if !x.failed {
		x.entry.Progress(now)
		x.entry.Answered()
		x.entry.End(false, now)
		if x.counts {
			c.served++
		}
		return
	}
	x.entry.Refused(now)
	x.entry.End(true, now)
	if len(x.tried) < attempts {
		c.send(x.book, x.tried, x.counts, now)
	}
}

// tell lets all boxes, of one data centre, tell each other.
func (c *course) tell(now time.Time) {
	told := make([]map[string]balance.Calls, len(c.books))
	for i, b := range c.books {
		told[i] = b.Failing(now)
	}
	for i, b := range c.books {
		others := map[string]balance.Calls{}
		for j, of := range told {
			for id, x := range of {
				if j != i {
					others[id] = balance.Calls{All: others[id].All + x.All, Failed: others[id].Failed + x.Failed}
				}
			}
		}
		b.Tell(nil, len(c.books)-1, now)
		b.Peers(len(c.books)-1, 0)
		b.TellFailing(others, now)
	}
}

// play returns how many of 1,000 requests were answered.
func (c *course) play() int {
	for n := 0; n < int(courseTime/courseStep); n++ {
		now := epoch.Add(time.Duration(n) * courseStep)
		if n%courseRound == 0 {
			c.tell(now)
		}
		ended := c.calls
		c.calls = nil
		for _, x := range ended {
			if now.Before(x.end) {
				c.calls = append(c.calls, x)
				continue
			}
			c.end(x, now)
		}
		if n%courseEach != 0 {
			continue
		}
		counts := now.Sub(epoch) >= courseLearn
		if counts {
			c.asked++
		}
		c.turn++
		c.send(c.books[c.turn%len(c.books)], map[string]bool{}, counts, now)
	}
	return c.served * 1000 / (c.asked - len(c.calls))
}

// Where a part of the endpoints fails a part of its calls, sooner than they answer or later,
// requests are answered as the sound endpoints can.
func TestFailingEndpoints(t *testing.T) {
	file, err := os.Open("testdata/failing.txt")
	require.NoError(t, err)
	defer file.Close()
	for r := bufio.NewScanner(file); r.Scan(); {
		if strings.HasPrefix(r.Text(), "#") {
			continue
		}
		var f failing
		var after string
		_, err := fmt.Sscan(r.Text(), &f.boxes, &f.endpoints, &f.bad, &f.percent, &after, &f.least)
		require.NoError(t, err, r.Text())
		f.after, err = time.ParseDuration(after)
		require.NoError(t, err, r.Text())
		for seed := range uint64(2) {
			rnd := rand.New(rand.NewPCG(seed, 3))
			c := &course{failing: f, rnd: rnd, all: endpoints(f.endpoints)}
			for range f.boxes {
				c.books = append(c.books, &balance.Book{Chance: rnd.Float64})
			}
			n := c.play()
			require.GreaterOrEqual(t, n, f.least, "%s, seed %d", r.Text(), seed)
		}
	}
}
