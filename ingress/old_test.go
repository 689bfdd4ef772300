package ingress_test

import (
	"context"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/store"
)

// stuckStore is a box's connection to the store, over which the configuration can't be read while leases are renewed.
type stuckStore struct {
	store.Store
	stuck atomic.Bool
}

func (s *stuckStore) Watch(c context.Context, prefix string, since uint64, wait time.Duration, limit int) ([]store.Item, uint64, error) {
	if prefix == "config" && s.stuck.Load() {
		return nil, 0, store.ErrUnavailable
	}
	return s.Store.Watch(c, prefix, since, wait, limit)
}

func (s *stuckStore) Range(c context.Context, prefix string) ([]store.Item, uint64, error) {
	if prefix == "config" && s.stuck.Load() {
		return nil, 0, store.ErrUnavailable
	}
	return s.Store.Range(c, prefix)
}

// denied are requests that the configuration of the tests denies.
var denied = []struct {
	path, key, body string
	status          int
}{
	{"/a/x", "unknown", "", http.StatusUnauthorized},
	{"/nowhere/x", "k", "", http.StatusNotFound},
	{"/a/x", "k", strings.Repeat("x", 101), http.StatusRequestEntityTooLarge},
}

// denies reports whether the box denies the requests that its configuration denies.
func (b *box) denies() bool {
	for _, c := range denied {
		if b.post(c.path, c.key, c.body).status != c.status {
			return false
		}
	}
	return true
}

// requireDeniesNothing requires that requests which the configuration denies may return, and that others are served.
func (b *box) requireDeniesNothing() {
	b.t.Helper()
	for _, c := range denied {
		resp := b.post(c.path, c.key, c.body)
		require.Equal(b.t, http.StatusServiceUnavailable, resp.status, resp.text)
		require.Contains(b.t, resp.text, "not_run")
		require.NotEmpty(b.t, resp.header.Get("Retry-After"))
	}
	require.Equal(b.t, http.StatusOK, b.post("/a/x", "k", "").status)
}

// Guards against 404, 401 and 413 for proper requests by boxes that have heard of a newer configuration than theirs: it may have
// the route or the key, and allow longer bodies.
func TestAnnouncedConfigurationDeniesNothing(t *testing.T) {
	b := startBox(t, true)
	b.await(b.isReady)
	require.True(t, b.denies())
	b.state.Announce(4, 0)
	b.requireDeniesNothing()
	require.NoError(t, b.state.Install(encode(t, 4), "another box"))
	require.True(t, b.denies())
}

// Guards against the same by boxes whose watch of the configuration fails, or that have just started and know only what another
// box had, while the store renews leases.
func TestUnconfirmedConfigurationDeniesNothing(t *testing.T) {
	b := startBox(t, true)
	b.await(b.isReady)
	require.True(t, b.denies())
	b.stuck.Store(true)
	b.await(func() bool { return b.post("/nowhere/x", "k", "").status == http.StatusServiceUnavailable })
	b.requireDeniesNothing()
	b.stuck.Store(false)
	b.await(b.denies)

	b = startBoxWith(t, true, func(b *box) { b.stuck.Store(true) })
	require.NoError(t, b.state.Install(encode(t, 3), "another box"))
	b.await(b.isReady)
	b.requireDeniesNothing()
	b.state.ConfirmView(3, 0, 0)
	require.True(t, b.denies())
}
