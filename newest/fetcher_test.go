package newest_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/newest"
	"birchlink.dev/birchlink/stand/script"
)

func Example() {
	var version atomic.Uint64
	f := newest.New(context.Background())
	f.Version, f.StallTime, f.GiveUp, f.Timeout = version.Load, time.Second, time.Second, time.Second
	f.Fetch = func(_ context.Context, from newest.Source, _ func(int)) error {
		fmt.Println("fetched from", from.Address)
		version.Store(7)
		return nil
	}
	f.Announce(7, "box-2")
	f.Wait()
	f.Announce(6, "box-3")
	f.Wait()
	// Output: fetched from box-2
}

// source is the state of other boxes. What a fetch does depends on the name of the box: from "stalled" nothing comes, from "hushed"
// only over a new connection, "gone" stalls and then refuses connections, from "slow" all takes 5 s, from "queued" 1.5 s after which all comes at once, and else a second.
type source struct {
	*newest.Fetcher
	offered, version atomic.Uint64
	fetches          atomic.Int64
	fails            atomic.Bool

	mu     sync.Mutex
	others []string
	asked  []string
}

func newSource(t *testing.T) *source {
	t.Helper()
	s := &source{Fetcher: newest.New(t.Context())}
	s.Version, s.StallTime, s.GiveUp, s.Timeout, s.Log = s.version.Load, 400*time.Millisecond, 2*time.Second, 10*time.Second, zerolog.Nop()
	s.Others = func() []string {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.others
	}
	s.Fetch = s.fetch
	return s
}

func (s *source) fetch(c context.Context, from newest.Source, onBytes func(n int)) error {
	s.fetches.Add(1)
	s.mu.Lock()
	name := from.Address
	if from.Renew {
		name += "+"
	}
	s.asked = append(s.asked, name)
	s.mu.Unlock()
	steps := 10
	switch name {
	case "gone+":
		return errors.New("connection refused")
	case "stalled", "stalled+", "hushed", "gone":
		<-c.Done()
		return c.Err()
	case "slow":
		steps = 50
	case "queued", "queued+":
		steps = 0
		select {
		case <-time.After(1500 * time.Millisecond):
		case <-c.Done():
			return c.Err()
		}
	}
	for range steps {
		select {
		case <-time.After(100 * time.Millisecond):
			onBytes(1000)
		case <-c.Done():
			return c.Err()
		}
	}
	if s.fails.Load() || strings.HasPrefix(name, "failing") {
		return errors.New("the box left")
	}
	s.version.Store(s.offered.Load())
	return nil
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

// Each line of a script is a command or an expectation.
func TestScripts(t *testing.T) {
	for _, x := range script.Read(t, "testdata/scripts.txt") {
		t.Run(x.Name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSource(t)
				for _, line := range x.Lines {
					s.play(t, line)
				}
			})
		})
	}
}

func (s *source) play(t *testing.T, line string) {
	t.Helper()
	synctest.Wait()
	w := strings.Fields(line)
	var v uint64
	if w[0] == "announce" || w[0] == "version" || w[0] == "reach" {
		_, err := fmt.Sscan(w[1], &v)
		require.NoError(t, err, line)
	}
	s.mu.Lock()
	asked := s.asked
	s.mu.Unlock()
	switch w[0] {
	case "others":
		s.mu.Lock()
		s.others = w[1:]
		s.mu.Unlock()
	case "announce":
		s.announce(v, w[2])
	case "reach":
		s.version.Store(v)
	case "wait":
		d, err := time.ParseDuration(w[1])
		require.NoError(t, err, line)
		time.Sleep(d)
	case "version":
		require.Equal(t, v, s.version.Load())
	case "asked":
		require.Equal(t, w[1:], asked)
	default:
		t.Fatal("unknown command", line)
	}
}

// No fetch begins once the context has ended.
func TestEnd(t *testing.T) {
	c, cancel := context.WithCancel(t.Context())
	f := newest.New(c)
	f.Version = func() uint64 { return 0 }
	f.Fetch = func(context.Context, newest.Source, func(int)) error { panic("not to be called") }
	cancel()
	f.Announce(1, "a")
	f.Wait()
}
