package daemon_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// limited reports whether all boxes know that so many servers take a bounded rate.
func limited(t *testing.T, bs []*entryBox, servers int) {
	t.Helper()
	for _, b := range bs {
		require.Eventually(t, func() bool { return b.metric(t, "endpoints.limited", servers) }, 20*time.Second, 5*time.Millisecond)
	}
}

// askUntil calls a box until something is so.
func (b *entryBox) askUntil(t *testing.T, name string, done func() bool) {
	t.Helper()
	for i := 0; !done(); i++ {
		status, text := b.call(t, fmt.Sprint(name, i), "body")
		require.Equal(t, http.StatusOK, status, text)
	}
}

// What one box is told of the rate that a server takes, all know while the store is away, also one
// that starts later, and that the server names none any more.
func TestAllBoxesKnowWhatAServerTakes(t *testing.T) {
	p := newPlatform(t, 2)
	bs := p.startFleet("a", "b", "c", "d")
	defer func() { stopAll(t, bs) }()
	p.store.SetDown(true)
	s := p.servers[0]
	s.ReportLimit("5")
	bs[0].askUntil(t, "first", func() bool { return s.RequestCount() > 0 })
	limited(t, bs, 1)
	p.store.SetDown(false)
	bs = append(bs, p.startBox("e", "north"))
	limited(t, bs, 1)
	s.ReportLimit("")
	bs[1].askUntil(t, "then", func() bool { return bs[1].metric(t, "endpoints.limited", 0) })
	limited(t, bs, 0)
}

// Where every server's rate is used up, callers are told at once that nothing ran, and when to come
// back.
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
	limited(t, bs, 2)
	asked := p.servers[0].RequestCount() + p.servers[1].RequestCount()
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
	require.Equal(t, 40-refused, p.servers[0].RequestCount()+p.servers[1].RequestCount()-asked)
	require.Greater(t, refused, 30)
}
