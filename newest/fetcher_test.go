package newest_test

import (
	"context"
	"errors"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/newest"
)

func Example() {
	var version atomic.Uint64
	f := newest.New(context.Background())
	f.Version, f.Timeout = version.Load, time.Second
	f.Fetch = func(_ context.Context, address string, _ func(int)) error {
		fmt.Println("fetched from", address)
		version.Store(7)
		return nil
	}
	f.Announce(7, "box-2")
	f.Wait()
	f.Announce(6, "box-3")
	f.Wait()
	// Output: fetched from box-2
}

// source is the state of other boxes. A fetch takes a second, and forever from the box "stalled".
type source struct {
	*newest.Fetcher
	offered, version atomic.Uint64
	fetches          atomic.Int64
	up               atomic.Bool
	fails            atomic.Bool
}

func newSource(t *testing.T) *source {
	t.Helper()
	s := &source{Fetcher: newest.New(t.Context())}
	s.up.Store(true)
	s.Version, s.StaleAge, s.Timeout, s.Log = s.version.Load, 2*time.Second, 10*time.Second, zerolog.Nop()
	s.IsUp = func(string) bool { return s.up.Load() }
	s.Fetch = func(c context.Context, address string, _ func(int)) error {
		s.fetches.Add(1)
		if address == "stalled" {
			<-c.Done()
			return c.Err()
		}
		time.Sleep(time.Second)
		if s.fails.Load() {
			return errors.New("the box left")
		}
		s.version.Store(s.offered.Load())
		return nil
	}
	return s
}

// announce makes other boxes have a version, of which this box hears.
func (s *source) announce(version uint64, address string) {
	s.offered.Store(version)
	s.Announce(version, address)
}

// Versions that are announced in quick succession cost two fetches, whatever their number.
func TestStorm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSource(t)
		for v := range uint64(90) {
			s.announce(v+1, "a")
			time.Sleep(10 * time.Millisecond)
		}
		s.Wait()
		require.EqualValues(t, 90, s.version.Load())
		require.LessOrEqual(t, s.fetches.Load(), int64(2))
	})
}

// A box that doesn't have what it announced, or fails, is asked again with the next announcement only.
func TestFailures(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSource(t)
		s.Announce(3, "a") // which has version 0
		s.Wait()
		require.EqualValues(t, 1, s.fetches.Load())
		s.fails.Store(true)
		s.announce(4, "a")
		s.Wait()
		require.EqualValues(t, 2, s.fetches.Load())
		s.fails.Store(false)
		s.announce(4, "a")
		s.Wait()
		require.EqualValues(t, 4, s.version.Load())
	})
}

// A fetch from a box that is gone gives way to another after a while, and one from a slow box does not.
func TestStalled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSource(t)
		s.announce(1, "stalled")
		time.Sleep(3 * time.Second)
		s.announce(1, "a")
		synctest.Wait()
		require.EqualValues(t, 1, s.fetches.Load(), "the box is slow, and up")
		s.up.Store(false)
		s.announce(1, "a")
		s.Wait()
		require.EqualValues(t, 1, s.version.Load())
		s.announce(2, "stalled")
		time.Sleep(11 * time.Second)
		s.announce(2, "a")
		s.Wait()
		require.EqualValues(t, 2, s.version.Load())
	})
}

// No fetch begins once the context has ended.
func TestEnd(t *testing.T) {
	c, cancel := context.WithCancel(t.Context())
	f := newest.New(c)
	f.Version = func() uint64 { return 0 }
	f.Fetch = func(context.Context, string, func(int)) error { panic("not to be called") }
	cancel()
	f.Announce(1, "a")
	f.Wait()
}
