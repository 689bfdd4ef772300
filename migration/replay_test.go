package migration_test

import (
	"bufio"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/migration"
)

// replayed is a stream of the replay.
type replayed struct {
	endpoint    string
	ends, first time.Duration // from the notice
	events      int
	pause       time.Duration
	cacheBytes  int64
	canResume   bool
}

// losses counts the streams by what became of them.
type losses struct{ ended, moved, resumed, cut int }

// linkBytesPerSecond is the rate of the link between engines of deployment 1.
const linkBytesPerSecond = 1.1e12 / 8

func readReplay(t *testing.T) map[string][]replayed {
	f, err := os.Open("testdata/reclaim.txt")
	require.NoError(t, err)
	defer f.Close()
	out := map[string][]replayed{}
	r := bufio.NewScanner(f)
	for r.Scan() {
		p, w := parser{t, r.Text()}, strings.Fields(r.Text())
		if w[0] == "#" {
			continue
		}
		out[w[0]] = append(out[w[0]], replayed{
			endpoint: w[0], ends: p.duration(w[1] + "ms"), first: p.duration(w[3] + "ms"), events: p.number(w[4]), pause: p.duration(w[5] + "ms"),
			cacheBytes: int64(p.number(w[6])) * 1e6, canResume: w[7] == "resume",
		})
	}
	require.NoError(t, r.Err())
	return out
}

// end returns when the stream ends if it stays.
func (s *replayed) end() time.Duration { return s.first + time.Duration(s.events)*s.pause }

// decide replays the decisions on the streams of one endpoint every 25 ms. The box takes the endpoint
// to end after told. One move at a time takes the copies to another data centre and 20 ms.
func decide(ss []replayed, told time.Duration) (l losses) {
	const interval = 25 * time.Millisecond
	gone := make([]bool, len(ss))
	var freeAt time.Duration
	for now := time.Duration(0); now < ss[0].ends; now += interval {
		p := migration.Planner{Left: told - now, LinkBytesPerSecond: linkBytesPerSecond, Running: len(ss)}
		var in []migration.Stream
		var index []int
		for i, s := range ss {
			if gone[i] {
				continue
			}
			if s.end() <= now {
				gone[i] = true
				l.ended++
				continue
			}
			sent := max(0, int((now-s.first)/s.pause))
			in = append(in, migration.Stream{
				Begun: now >= s.first, FirstEvent: max(s.first-now, 0), EventsLeft: s.events - sent, Pause: s.pause, CacheBytes: s.cacheBytes, CanResume: s.canResume,
			})
			index = append(index, i)
		}
		for _, d := range p.Plan(in) {
			i := index[d.Index]
			switch {
			case d.Action == migration.Resume:
				gone[i] = true
				l.resumed++
			case d.Action == migration.Move && in[d.Index].Begun && freeAt <= now:
				took := 20*time.Millisecond + time.Duration(2*2*float64(ss[i].cacheBytes)/linkBytesPerSecond*float64(time.Second))
				if freeAt = now + took; freeAt <= ss[i].ends {
					gone[i] = true
					l.moved++
				}
			}
		}
	}
	for i := range ss {
		switch {
		case gone[i]:
		case ss[i].end() <= ss[i].ends:
			l.ended++
		case ss[i].canResume:
			l.resumed++
		default:
			l.cut++
		}
	}
	return l
}

// stay lets all streams end where they are, as without moves, and moveAtNotice moves at once all that
// have begun.
func stay(ss []replayed) (l losses)         { return alternative(ss, false) }
func moveAtNotice(ss []replayed) (l losses) { return alternative(ss, true) }

func alternative(ss []replayed, move bool) (l losses) {
	for _, s := range ss {
		switch {
		case move && s.first == 0:
			l.moved++
		case s.end() <= s.ends:
			l.ended++
		case s.canResume:
			l.resumed++
		default:
			l.cut++
		}
	}
	return l
}

// Tests that the decision loses the fewest streams when the endpoints of a data centre end, whether or
// not they say how long they have left, and moves no more than need be.
func TestReplayOfReclaim(t *testing.T) {
	var stayed, atOnce, decided, unknown losses
	add := func(to *losses, l losses) {
		to.ended, to.moved, to.resumed, to.cut = to.ended+l.ended, to.moved+l.moved, to.resumed+l.resumed, to.cut+l.cut
	}
	for _, ss := range readReplay(t) {
		add(&stayed, stay(ss))
		add(&atOnce, moveAtNotice(ss))
		add(&decided, decide(ss, ss[0].ends))
		add(&unknown, decide(ss, migration.UnknownDrainPeriod))
	}
	t.Logf("stay %+v, move at the notice %+v, decide %+v, period unknown %+v", stayed, atOnce, decided, unknown)
	require.Less(t, decided.cut, atOnce.cut)
	require.Less(t, atOnce.cut, stayed.cut)
	require.Less(t, decided.moved, atOnce.moved)
	require.LessOrEqual(t, unknown.cut, decided.cut)
}
