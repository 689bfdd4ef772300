package mirror_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/boottime"
	"birchlink.dev/birchlink/mirror"
	"birchlink.dev/birchlink/stand/memstore"
	"birchlink.dev/birchlink/store"
	"birchlink.dev/birchlink/wait"
)

// While the store is known to be unreachable, few calls are made. After Restart, a change
// made in the meantime is read at once.
func TestStoreUnreachable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &memstore.Store{}
		s.Set("k", "1")
		seen := ""
		m := &mirror.Mirror{
			Store: s, Prefix: "k", Wait: time.Second, Log: zerolog.Nop(), StoreUnreachable: func() bool { return true },
			Apply: func(items []store.Item, _ bool, _ uint64) { seen = string(items[len(items)-1].Value) },
		}
		c, cancel := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer cancel()
		go m.Run(c)
		wait.For(c, 300*time.Millisecond)
		synctest.Wait()
		require.Equal(t, "1", seen)
		s.SetDown(true)
		before := s.Calls()
		wait.For(c, 9500*time.Millisecond)
		require.LessOrEqual(t, s.Calls()-before, 6)
		s.SetDown(false)
		s.Set("k", "2")
		m.Restart()
		synctest.Wait()
		require.Equal(t, "2", seen)
	})
}

// slowStore answers late, as one behind a slow link does, and a process that is paused reads answers late.
type slowStore struct {
	*memstore.Store
	delay time.Duration
}

func (s *slowStore) Watch(c context.Context, prefix string, since uint64, d time.Duration, limit int) ([]store.Item, uint64, error) {
	items, at, err := s.Store.Watch(c, prefix, since, d, limit)
	wait.For(c, s.delay)
	return items, at, err
}

// Guards against copies that count as up to date as of the moment at which an answer is read: it may have been under way for as
// long as the process or the link stood still, and a pending watch misses changes whose history is gone.
func TestLateAnswersConfirmNothingLater(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &slowStore{Store: &memstore.Store{}, delay: 900 * time.Millisecond}
		s.Set("k", "1")
		var confirmed atomic.Pointer[time.Time]
		var seen atomic.Pointer[string]
		m := &mirror.Mirror{
			Store: s, Prefix: "k", Wait: time.Second, Log: zerolog.Nop(), OnCurrent: func(at time.Time) { confirmed.Store(&at) },
			Apply: func(items []store.Item, _ bool, _ uint64) { seen.Store(new(string(items[len(items)-1].Value))) },
		}
		c, cancel := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer cancel()
		go m.Run(c)
		for n := range 20 {
			wait.For(c, 1700*time.Millisecond)
			synctest.Wait()
			value, changed := fmt.Sprint("value ", n), boottime.Now()
			s.SetWatchesStalled(n%2 == 0) // the change is lost for a watch that is pending
			s.Set("k", value)
			synctest.Wait()
			for *seen.Load() != value {
				require.False(t, confirmed.Load().After(changed), value)
				wait.For(c, 50*time.Millisecond)
				synctest.Wait()
				if s.SetWatchesStalled(false); boottime.Since(changed) > 10*time.Second {
					t.Fatal("the change is not read")
				}
			}
		}
	})
}
