package balance_test

import (
	"bufio"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/balance"
	"birchlink.dev/birchlink/endpoint"
	"birchlink.dev/birchlink/speed"
)

// Replays streams whose pauses are long at some speed classes, and requires where later streams go.
// Guards against long streams being sent to endpoints at which they are late by their pauses while
// others have room, and against choices that change without long pauses or without speeds.
func TestLongPausesSteerChoices(t *testing.T) {
	f, err := os.Open("testdata/stalls.txt")
	require.NoError(t, err)
	defer f.Close()
	now := time.Now()
	var b *balance.Balancer
	es := []endpoint.Endpoint{{ID: "fast", Service: "s", Slots: 64}, {ID: "mean", Service: "s", Slots: 64}}
	query := func(w []string) balance.Query {
		return balance.Query{Engine: true, Prompt: 100, Events: number(t, w[0]), Objective: ms(t, w[1]), GapTarget: ms(t, w[2])}
	}
	r := bufio.NewScanner(f)
	for r.Scan() {
		w := strings.Fields(r.Text())
		if len(w) == 0 || w[0] == "#" {
			continue
		}
		switch w[0] {
		case "speeds": // on, or off
			b = &balance.Balancer{}
			if w[1] == "on" {
				b.Speeds = &speed.Estimator{}
				for range 200 {
					b.Speeds.Observe(speed.KeyOf(&es[0]), 0.5, 1, now)
					b.Speeds.Observe(speed.KeyOf(&es[1]), 1, 1, now)
				}
				b.Speeds.Update([][]endpoint.Endpoint{es}, now)
			}
		case "busy": // requests in progress at the fast endpoint
			b.SetRemoteLoad(map[string]balance.Load{"fast": {Running: int(number(t, w[1]))}}, 1, now)
		case "streams": // count, endpoint, longest pause, then events, objective and gap target
			for range int(number(t, w[1])) {
				q := query(w[4:])
				q.Skip = map[string]bool{"fast": w[2] == "mean", "mean": w[2] == "fast"}
				c, ok := b.Choose(es, q, now)
				require.True(t, ok)
				n := b.Begin(c.Endpoint, c, now)
				n.RecordProgress(now)
				for i := range 3 {
					now = now.Add(time.Millisecond)
					if i == 1 {
						now = now.Add(ms(t, w[3]))
					}
					n.RecordProgress(now)
				}
				n.End(false, now)
			}
		case "expect": // endpoint, then events, objective and gap target
			c, ok := b.Choose(es, query(w[2:]), now)
			require.True(t, ok)
			require.Equal(t, w[1], c.Endpoint.ID, r.Text())
		default:
			t.Fatalf("no step %q", r.Text())
		}
	}
	require.NoError(t, r.Err())
}

func number(t *testing.T, s string) float64 {
	v, err := strconv.ParseFloat(s, 64)
	require.NoError(t, err)
	return v
}

func ms(t *testing.T, s string) time.Duration {
	return time.Duration(number(t, s) * float64(time.Millisecond))
}
