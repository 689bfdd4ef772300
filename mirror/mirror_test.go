package mirror_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

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
