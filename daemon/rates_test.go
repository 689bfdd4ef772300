package daemon_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// awaitLimited waits until all boxes know the given number of servers with a rate limit.
func awaitLimited(t testing.TB, bs []*entryBox, servers int) {
	t.Helper()
	for _, b := range bs {
		require.Eventually(t, func() bool { return b.hasMetric(t, "endpoints.limited", servers) }, 20*time.Second, 5*time.Millisecond)
	}
}

// callUntil calls a box until done returns true.
func (e *entryBox) callUntil(t testing.TB, idPrefix string, done func() bool) {
	t.Helper()
	for i := 0; !done(); i++ {
		status, text := e.call(t, fmt.Sprint(idPrefix, i), "body")
		require.Equal(t, http.StatusOK, status, text)
	}
}

// All boxes learn the rate limit that a server states to one of them while the store is unavailable,
// and also that the server has withdrawn it. A box that starts later learns the limit too.
func TestAllBoxesLearnServerLimit(t *testing.T) {
	p := newPlatform(t, 2)
	bs := p.startFleet("a", "b", "c", "d")
	defer func() { stopAll(t, bs) }()
	p.store.SetDown(true)
	s := p.servers[0]
	s.ReportLimit("5")
	bs[0].callUntil(t, "first", func() bool { return s.RequestCount() > 0 })
	awaitLimited(t, bs, 1)
	p.store.SetDown(false)
	bs = append(bs, p.startBox("e", "north"))
	awaitLimited(t, bs, 1)
	s.ReportLimit("")
	bs[1].callUntil(t, "then", func() bool { return bs[1].hasMetric(t, "endpoints.limited", 0) })
	awaitLimited(t, bs, 0)
}

// While the rate limits of all servers are used up, calls are refused immediately without being run.
func TestAllServersLimited(t *testing.T) {
	p := newPlatform(t, 2)
	bs := p.startFleet("a", "b")
	defer stopAll(t, bs)
	for _, s := range p.servers {
		s.ReportLimit("0.01")
	}
	for i := range 4 {
		bs[0].call(t, fmt.Sprint("first", i), "body")
	}
	awaitLimited(t, bs, 2)
	requests := p.servers[0].RequestCount() + p.servers[1].RequestCount()
	refused := 0
	for i := range 40 {
		status, text := bs[i%2].call(t, fmt.Sprint("then", i), "body")
		if status == http.StatusOK {
			continue
		}
		require.Equal(t, http.StatusServiceUnavailable, status, text)
		require.Contains(t, text, "not_run")
		refused++
	}
	require.Equal(t, 40-refused, p.servers[0].RequestCount()+p.servers[1].RequestCount()-requests)
	require.Greater(t, refused, 30)
}
