package forward_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// dataOf returns the data of the events that a sink received.
func dataOf(r *recorder) string {
	var out []string
	for l := range strings.SplitSeq(r.body, "\n") {
		if d, ok := strings.CutPrefix(l, "data: "); ok {
			out = append(out, d)
		}
	}
	return strings.Join(out, " ")
}

// Guards against whole streams that are lost because an order came too late, and an event has no ID: the copy was not asked for the end, or
// what it sent was taken for other events.
func TestWholeStreamWithBareEvents(t *testing.T) {
	for _, v := range []struct {
		name, route, framing string
		bare                 bareEvents
		refuses, isStopped   bool
	}{
		{"last_resumable_chunks", "stream resumable 3", "chunks", "6", false, false},
		{"last_resumable_chunks_refused", "stream resumable 3", "chunks", "6", true, false},
		{"last_resumable_unframed", "stream resumable 3", "", "6", false, false},
		{"last_once_chunks", "stream 2", "chunks", "6", false, false},
		{"last_once_unframed", "stream 2", "", "6", false, false},
		{"last_two_once_unframed", "stream 2", "", "5 6", false, false},
		{"last_but_one_resumable_chunks", "stream resumable 3", "chunks", "5", false, false},
		{"last_but_one_once_chunks", "stream 2", "chunks", "5", false, false},
		{"last_but_one_once_unframed", "stream 2", "", "5", false, false},
		{"last_and_before_once_unframed", "stream 2", "", "4 6", false, false},
		{"first_once_unframed", "stream 2", "", "1", false, false},
		{"last_but_one_once_unframed_stopped", "stream 2", "", "2", false, true},
	} {
		t.Run(v.name, func(t *testing.T) {
			a := newStoppable()
			a.framing, a.bare, a.order = v.framing, v.bare, a.endAt("no_run")
			if v.isStopped {
				a.order = a.stopAt("no_run")
			}
			b := (&destination{total: 6, data: a.data, bare: v.bare}).serve
			if v.refuses {
				b = refuse
			}
			r := &lockedSink{}
			_, err := (&stopTest{route: v.route, a: a, b: b, sink: r}).play(t)
			require.NoError(t, err)
			require.Equal(t, "a1 a2 a3 a4 a5 a6", dataOf(&r.recorder))
		})
	}
}
