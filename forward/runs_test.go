package forward_test

import (
	"bytes"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// Tests that the log tells a run that goes on elsewhere from another one that follows it.
func TestRunsAreLogged(t *testing.T) {
	var out bytes.Buffer
	s := newScript(t)
	s.f.Log = zerolog.New(&out)
	s.step([]string{"route", "stream", "resumable", "2"}, "")
	s.step([]string{"endpoint", "a", "stream_cut:3"}, "")
	s.step([]string{"endpoint", "b", "stream:5"}, "")
	s.call("", "body", nil)
	require.NoError(t, s.err)
	require.Contains(t, out.String(), `"run":2,"moved":false,"resumable":true,"message":"decision"`)
	require.Contains(t, out.String(), `"event":"continue","request":"1","resumes":"","last_event":"3","endpoint":"a"`)
	require.Contains(t, out.String(), `"verdict":"broken","framed":true`)

	onFakeClock(t, func(t *testing.T) {
		es, s := newEngines(t), newScript(t)
		a := es.add("a")
		es.add("b")
		a.hold, a.drains = 3, true
		var log bytes.Buffer
		sink, err := moveTest{period: 400 * time.Millisecond}.send(t, es, s, &log)
		require.NoError(t, err)
		require.Equal(t, "1 2 3 4 5 6", sink.events())
		require.Contains(t, log.String(), `"run":1,"moved":true,"resumable":false,"message":"decision"`)
	})
}
