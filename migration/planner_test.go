package migration_test

import (
	"bufio"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/migration"
)

// A stream whose caller's estimate was too low must not count as nearly ended.
func TestEventsLeft(t *testing.T) {
	require.Equal(t, 3, migration.EventsLeft(50, 400, 4, 10))
	require.Equal(t, 87, migration.EventsLeft(50, 400, 4, 13))
	require.Equal(t, 0, migration.EventsLeft(50, 400, 4, 100))
	require.Equal(t, 90, migration.EventsLeft(0, 400, 4, 10))
	require.Equal(t, -1, migration.EventsLeft(50, 0, 4, 13))
	require.Equal(t, -1, migration.EventsLeft(0, 0, 4, 0))
}

// parser reads the values of a line and fails the test if one is malformed.
type parser struct {
	t    *testing.T
	line string
}

func (p parser) duration(s string) time.Duration {
	d, err := time.ParseDuration(s)
	require.NoError(p.t, err, p.line)
	return d
}

func (p parser) number(s string) int {
	n, err := strconv.Atoi(s)
	require.NoError(p.t, err, p.line)
	return n
}

// TestDecisions makes the decisions in testdata/decisions.txt. The comments there say which failure
// each guards against.
func TestDecisions(t *testing.T) {
	f, err := os.Open("testdata/decisions.txt")
	require.NoError(t, err)
	defer f.Close()
	var planner migration.Planner
	var names []string
	var streams []migration.Stream
	var plan []migration.Decision
	r := bufio.NewScanner(f)
	for r.Scan() {
		p := parser{t, r.Text()}
		w := strings.Fields(r.Text())
		switch {
		case len(w) == 0 || strings.HasPrefix(w[0], "#"):
		case w[0] == "left":
			require.Empty(t, plan, "%s: decisions are left over", r.Text())
			planner = migration.Planner{Left: p.duration(w[1]), LinkBytesPerSecond: float64(p.number(w[3])) * 1e6, Running: p.number(w[5])}
			names, streams = names[:0], streams[:0]
		case w[0] == "stream":
			first, waiting := strings.CutPrefix(w[2], "waiting:")
			s := migration.Stream{
				Begun: !waiting, EventsLeft: p.number(w[3]), Pause: p.duration(w[4]), CacheBytes: int64(p.number(w[5])) * 1e6,
				CanResume: w[6] == "resume", Moves: p.number(w[7]),
			}
			if waiting {
				s.FirstEvent = p.duration(first)
			}
			names, streams = append(names, w[1]), append(streams, s)
			plan = nil
		case w[0] == "expect":
			if len(plan) == 0 {
				plan = planner.Plan(streams)
				require.Len(t, plan, len(streams))
			}
			require.Equal(t, w[1:], []string{names[plan[0].Index], plan[0].Action.String()}, "%+v", plan)
			plan = plan[1:]
		default:
			t.Fatalf("no step %q", r.Text())
		}
	}
	require.NoError(t, r.Err())
	require.Empty(t, plan)
}
