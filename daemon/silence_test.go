package daemon_test

import (
	"bufio"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"birchlink.dev/birchlink/platform/standin"
)

// silenceTest is a fleet of six boxes before six sound servers, which fall silent together.
type silenceTest struct {
	*platform
	boxes  []*entryBox
	serial int
}

// servers and events of the streams are as many as in the operators' measurement, in which all servers were silent.
const (
	silenceServers = 6
	silenceEvents  = 40
)

func newSilenceTest(t testing.TB) *silenceTest {
	s := &silenceTest{platform: newPlatform(t, 0)}
	s.slots, s.events, s.work = 1000, silenceEvents, 10*time.Millisecond
	// The route's timeout ends streams too, on a busy machine also those that are not silent.
	s.store.Set(standin.ConfigKey, strings.ReplaceAll(standin.Config(1, "api"), `"timeout_ms":4000`, `"timeout_ms":60000`))
	for range silenceServers {
		s.startServer()
	}
	s.boxes = s.startFleet("a", "b", "c", "d", "e", "f")
	return s
}

// silences returns how often a box has found a stream's endpoint silent for too long.
func (s *silenceTest) silences() int {
	n := 0
	for _, b := range s.boxes {
		if v, ok := b.metric(s.t, "attempts.silent"); ok {
			k, err := strconv.Atoi(v)
			require.NoError(s.t, err)
			n += k
		}
	}
	return n
}

// play opens streams at all boxes. Once all have begun, as many of the servers as given fall silent until the boxes have noticed
// it at a number of streams. It returns the number of streams that ended without being whole.
func (s *silenceTest) play(streams, silent, noticed int) int {
	s.t.Helper()
	began, silenced := make(chan struct{}, streams), make(chan struct{})
	var cut atomic.Int64
	var g errgroup.Group
	for i := range streams {
		s.serial++
		id := fmt.Sprint("stream", s.serial)
		g.Go(func() error {
			v := &standin.Stream{}
			q, err := v.NewRequest(s.boxes[i%len(s.boxes)].callersAddress, "/stream/x", id, time.Minute)
			if err != nil {
				return err
			}
			q.GetBody = nil
			a, err := http.DefaultClient.Do(q)
			if err != nil {
				return err
			}
			defer a.Body.Close()
			body := bufio.NewReader(a.Body) // keeps what it has read beyond the first event
			err = v.Read(id, body, 1)
			began <- struct{}{}
			<-silenced
			if err == nil {
				err = v.Read(id, body, silenceEvents)
			}
			if err != nil || a.StatusCode != http.StatusOK || v.Events != silenceEvents {
				s.t.Log(id, a.StatusCode, v.Events, err)
				cut.Add(1)
			}
			return nil
		})
	}
	for range streams {
		<-began
	}
	for _, v := range s.servers[:silent] {
		v.SetSilent(true)
	}
	close(silenced)
	before := s.silences()
	require.Eventually(s.t, func() bool { return s.silences()-before >= noticed }, time.Minute, time.Millisecond)
	for _, v := range s.servers[:silent] {
		v.SetSilent(false)
	}
	require.NoError(s.t, g.Wait())
	return int(cut.Load())
}

// Streams whose endpoints are silent for a while must be whole, however many endpoints are silent and how often: an answer
// ended by its box because of the silence was lost, although its endpoint went on with it.
func TestSilentServersCutNoStreams(t *testing.T) {
	f, err := os.Open("testdata/silences.txt")
	require.NoError(t, err)
	defer f.Close()
	for r := bufio.NewScanner(f); r.Scan(); {
		line := r.Text()
		if line == "" || line[0] == '#' {
			continue
		}
		t.Run(strings.ReplaceAll(line, " ", "_"), func(t *testing.T) {
			var streams, silent, noticed, times int
			_, err := fmt.Sscan(line, &streams, &silent, &noticed, &times)
			require.NoError(t, err)
			s := newSilenceTest(t)
			defer func() { stopAll(t, s.boxes) }()
			cut := 0
			for range times {
				cut += s.play(streams, silent, noticed)
			}
			t.Logf("%d of %d streams were cut", cut, times*streams)
			require.Zero(t, cut)
		})
	}
}
