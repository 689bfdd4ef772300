package fleetstate_test

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/boottime"
	"birchlink.dev/birchlink/endpoint"
	"birchlink.dev/birchlink/fleetstate"
	"birchlink.dev/birchlink/stand/memstore"
	"birchlink.dev/birchlink/store"
	"birchlink.dev/birchlink/versionhistory"
	"birchlink.dev/birchlink/wait"
)

// versionSource decodes records whose value is a software version.
var versionSource = fleetstate.Source{
	ConfigKey: "config", EndpointsPrefix: "e/", DecodeConfig: source.DecodeConfig,
	DecodeEndpoint: func(key string, b []byte) (endpoint.Endpoint, error) {
		return endpoint.Endpoint{ID: strings.TrimPrefix(key, "e/"), Service: "s", Version: string(b)}, nil
	},
}

// all returns the versions that a box knows, and whether it holds that there are no others.
func all(s *fleetstate.Service) (names []string, complete bool) {
	return s.Roster.Versions.All("s", boottime.Now())
}

// Guards against a version that a box never heard of, since its endpoint came and went between two answers of a watch.
func TestVersionsThatComeAndGoAreKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &memstore.Store{}
		m.Set("config", `{"Version":3}`)
		m.Set("e/one", "v1")
		b := startBoxOf(t, m, versionSource)
		defer b.stop()
		b.Roster.Versions.Restore(map[string][]string{}, nil, true, boottime.Now())
		wait.For(t.Context(), 10*time.Second)
		names, complete := all(b.Service)
		require.Equal(t, []string{"v1"}, names)
		require.True(t, complete)

		m.SetDown(true)
		m.Set("e/two", "v2")
		m.Delete("e/two")
		wait.For(t.Context(), time.Minute)
		_, complete = all(b.Service)
		require.False(t, complete)
		m.SetDown(false)
		wait.For(t.Context(), 5*time.Second)
		names, complete = all(b.Service)
		require.Equal(t, []string{"v1", "v2"}, names)
		require.True(t, complete, "the watch had all changes")

		m.SetDown(true)
		m.Set("e/two", "v3")
		m.Delete("e/two")
		m.Compact()
		wait.For(t.Context(), 10*time.Second)
		m.SetDown(false)
		wait.For(t.Context(), 5*time.Second)
		names, complete = all(b.Service)
		require.NotContains(t, names, "v3")
		require.False(t, complete, "a version may have come and gone")
	})
}

// A box that gets records from others knows all versions as long as it lacks no change, or misses what others have for no longer than
// a version takes to settle.
func TestVersionsFromOtherBoxes(t *testing.T) {
	newest := func(to uint64) fleetstate.Records { return fleetstate.Records{From: 6, To: to} }
	one := []store.Item{{Key: "e/one", Value: []byte("v1"), Revision: 6}}
	events := func(to uint64) fleetstate.Records { return fleetstate.Records{From: 6, To: to, Events: true} }
	for name, c := range map[string]struct {
		gap      time.Duration
		records  *fleetstate.Records
		complete bool
	}{
		"nothing new":                 {time.Hour, nil, true},
		"all changes":                 {time.Hour, new(events(8)), true},
		"the newest, soon":            {versionhistory.MaxAge, new(newest(8)), true},
		"the newest, later":           {versionhistory.MaxAge + time.Millisecond, new(newest(8)), false},
		"all records, later":          {versionhistory.MaxAge + time.Millisecond, &fleetstate.Records{Items: one, Whole: true, To: 8}, false},
		"the newest, then all change": {time.Hour, new(newest(7)), false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := fleetstate.New(versionSource, nil, zerolog.Nop())
				s.Merge(fleetstate.Records{Items: one, Whole: true, To: 6})
				s.Roster.Versions.Restore(map[string][]string{}, nil, true, boottime.Now())
				s.ConfirmView(0, 6, 0)
				_, complete := all(s)
				require.True(t, complete)
				time.Sleep(c.gap)
				revision := uint64(6)
				if c.records != nil {
					s.Merge(*c.records)
					revision = c.records.To
				}
				if revision == 7 {
					s.Merge(events(8))
				}
				s.ConfirmView(0, revision, 0)
				_, complete = all(s)
				require.Equal(t, c.complete, complete)
			})
		})
	}
}
