package endpoint_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/boottime"
	"birchlink.dev/birchlink/endpoint"
)

// A departure is kept from its first sign on, with the earliest end that the endpoint announced, until a record says that the
// endpoint serves.
func TestDepartures(t *testing.T) {
	serving := endpoint.Endpoint{ID: "e", StartMillis: 1, Service: "s", Address: "a"}
	draining, timed, restarted := serving, serving, serving
	draining.Draining = true
	timed.Draining, timed.DrainPeriod = true, time.Minute
	restarted.StartMillis = 2
	for name, v := range map[string]struct {
		change  func(r *endpoint.Roster)
		departs bool
		hasEnd  bool
	}{
		"serves":                     {func(*endpoint.Roster) {}, false, false},
		"drains":                     {func(r *endpoint.Roster) { r.Put(draining) }, true, false},
		"drains for a time":          {func(r *endpoint.Roster) { r.Put(timed) }, true, true},
		"names its end later":        {func(r *endpoint.Roster) { r.Put(draining); r.Put(timed) }, true, true},
		"is marked":                  {func(r *endpoint.Roster) { r.MarkDraining(serving.Incarnation()) }, true, false},
		"record is missing":          {func(r *endpoint.Roster) { r.Remove("e") }, true, false},
		"record goes after its word": {func(r *endpoint.Roster) { r.Put(timed); r.Remove("e") }, true, true},
		"record returns":             {func(r *endpoint.Roster) { r.Remove("e"); r.Put(serving) }, false, false},
		"another start":              {func(r *endpoint.Roster) { r.Put(restarted) }, true, false},
		"another start is revoked":   {func(r *endpoint.Roster) { r.Put(restarted); r.Put(serving) }, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			r := &endpoint.Roster{}
			r.Put(serving)
			before := boottime.Now()
			v.change(r)
			d, ok := r.Departure(serving.Incarnation())
			require.Equal(t, v.departs, ok)
			require.Equal(t, v.hasEnd, !d.Ends.IsZero())
			if !ok {
				return
			}
			require.Equal(t, "a", d.Endpoint.Address)
			require.False(t, d.Since.Before(before))
			r.Put(restarted)
			later, _ := r.Departure(serving.Incarnation())
			require.Equal(t, d.Since, later.Since)
			require.Equal(t, d.Ends, later.Ends)
		})
	}
}
