package daemon_test

import (
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"birchlink.dev/birchlink/platform/standin"
)

// servedOnNewConnections sends requests, each on a connection of its own and as many at a time as given, to the boxes in turn. It
// returns how many are served.
func servedOnNewConnections(t *testing.T, boxes []*entryBox, name, path string, requests, together int) int {
	t.Helper()
	h := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	var served atomic.Int64
	var g errgroup.Group
	g.SetLimit(together)
	for i := range requests {
		g.Go(func() error {
			q, err := newBodyRequest(boxes[i%len(boxes)].callersAddress, path, fmt.Sprint(name, i), 10*time.Second)
			if err != nil {
				return err
			}
			q.Header.Set(standin.PartsHeader, fmt.Sprintf("f1a0:400,%x:20", 100000+i))
			a, err := h.Do(q)
			if err != nil {
				t.Log(err)
				return nil
			}
			defer a.Body.Close()
			text, err := io.ReadAll(a.Body)
			if err == nil && a.StatusCode == http.StatusOK {
				served.Add(1)
			} else {
				t.Log(a.StatusCode, string(text), err)
			}
			return nil
		})
	}
	require.NoError(t, g.Wait())
	return int(served.Load())
}

// A box that gets all new connections of the fleet serves the requests on them at the first attempt, as the boxes did
// together, and so does the next one that gets them while the first one stops.
func TestOneBoxServesAllNewConnections(t *testing.T) {
	const requests, together = 600, 150
	p := newPlatform(t, 0)
	p.slots, p.work = 64, 5*time.Millisecond
	for range 6 {
		p.startServer()
	}
	bs := p.startFleet("a", "b", "c", "d", "e", "f")
	for _, path := range []string{"/again/x", "/once/x", "/stream/x"} {
		require.Equal(t, requests, servedOnNewConnections(t, bs, "spread"+path, path, requests, together))
		require.Equal(t, requests, servedOnNewConnections(t, bs[:1], "first"+path, path, requests, together))
	}
	stopped := make(chan error, 1)
	go func() { stopped <- bs[0].App.Stop(t.Context()) }()
	require.Equal(t, requests, servedOnNewConnections(t, bs[1:2], "next", "/again/x", requests, together))
	require.NoError(t, <-stopped)
	stopAll(t, bs[1:])
}
