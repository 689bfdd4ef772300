package configsync

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"birchlink.dev/birchlink/errkind"
	"birchlink.dev/birchlink/kv"
	"birchlink.dev/birchlink/member"
)

// lossyStore holds one entry. Its first swap has no answer, and takes effect after delay. Reads return the entry as it was at first
// if stale is set, and all later calls fail if unavailable is set. If others is set, that is the version of another editor's change,
// which follows the first swap, or precedes it if it is 1.
type lossyStore struct {
	delay       time.Duration
	stale       bool
	unavailable bool
	others      uint64

	mu    sync.Mutex
	entry kv.Entry
	swaps int
}

func (s *lossyStore) Get(context.Context, string) (kv.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.unavailable && s.swaps > 0 {
		return kv.Entry{}, kv.ErrUnavailable
	}
	if s.stale {
		return kv.Entry{}, nil
	}
	return s.entry, nil
}

func (s *lossyStore) Watch(c context.Context, _ string, _ uint64, _ time.Duration) (kv.Entry, error) {
	<-c.Done()
	return kv.Entry{}, c.Err()
}

func (s *lossyStore) Swap(_ context.Context, e kv.Entry) (kv.Entry, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.swaps++
	switch {
	case s.swaps == 1 && s.others > 0:
		if s.others > 1 {
			_, _ = s.apply(e)
		}
		b, err := msgpack.Marshal(Revision{Version: s.others, Text: "[model \"m\"]\nversions = 1\n", Nonce: "other"})
		_, _ = s.apply(kv.Entry{Key: e.Key, Rev: s.entry.Rev, Value: b})
		return kv.Entry{}, errors.Join(kv.ErrOutcomeUnknown, err)
	case s.swaps == 1:
		time.AfterFunc(s.delay, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			_, _ = s.apply(e)
		})
		return kv.Entry{}, kv.ErrOutcomeUnknown
	case s.unavailable:
		return kv.Entry{}, kv.ErrUnavailable
	}
	return s.apply(e)
}

// apply swaps the entry. The caller holds s.mu.
func (s *lossyStore) apply(e kv.Entry) (kv.Entry, error) {
	if e.Rev != s.entry.Rev {
		return s.entry, kv.ErrConflict
	}
	e.Rev++
	s.entry = e
	return e, nil
}

// Guards against changes that are reported as lost and are carried out later, or are in force and a read does not show them yet.
func TestSwapWithoutAnswer(t *testing.T) {
	for name, s := range map[string]*lossyStore{
		"done":                  {},
		"done, and read stale":  {stale: true},
		"done before the read":  {delay: retryInterval / 2},
		"done after the read":   {delay: retryInterval + retryInterval/2},
		"done after the answer": {delay: time.Minute},
		"done, and then away":   {unavailable: true},
		"done, and changed":     {others: 2},
		"another one's instead": {others: 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := New(zerolog.Nop())
				defer f.cancel()
				f.store, f.members = s, member.New("box", "dc", nil, zerolog.Nop())
				r, err := f.Put(t.Context(), 0, "[model \"m\"]\nversions = 1\n", "editor", nil)
				switch {
				case s.unavailable, s.others > 1:
					require.True(t, errkind.Is(err, errkind.OutcomeUnknown), err)
					return
				case s.others == 1:
					require.True(t, errkind.Is(err, errkind.ConfigConflict), err)
					return
				}
				require.NoError(t, err)
				require.EqualValues(t, 1, f.version())
				time.Sleep(2 * s.delay)
				stored, err := decode(s.entry)
				require.NoError(t, err)
				require.Equal(t, r.Nonce, stored.Nonce)
				require.EqualValues(t, 1, s.entry.Rev)
			})
		})
	}
}
