package shutdown_test

import (
	"context"
	"fmt"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/answertimes"
	"birchlink.dev/birchlink/boottime"
	"birchlink.dev/birchlink/errkind"
	"birchlink.dev/birchlink/shutdown"
	"birchlink.dev/birchlink/stand/script"
)

func ExampleWindow() {
	var w shutdown.Window
	now := time.Now()
	q := shutdown.Request{Expires: now.Add(time.Minute), Answer: answertimes.Estimate{Long: 6 * time.Second}}
	fmt.Println(w.Decide(q, now).Reason)
	w.Begin(now, 2*time.Second, 7*time.Second)
	for _, after := range []time.Duration{500 * time.Millisecond, 1500 * time.Millisecond} {
		d := w.Decide(q, now.Add(after))
		fmt.Println(after, d.Allowed, d.Reason)
	}
	// Output:
	// running
	// 500ms true in_time
	// 1.5s false too_long
}

// BenchmarkContext measures what a wait of a request costs a box that is not shutting down.
func BenchmarkContext(b *testing.B) {
	var w shutdown.Window
	q := func(time.Time) shutdown.Request { return shutdown.Request{} }
	b.ReportAllocs()
	b.RunParallel(func(p *testing.PB) {
		for p.Next() {
			_, cancel := w.Context(context.Background(), q)
			cancel()
		}
	})
}

func TestNilWindow(t *testing.T) {
	var w *shutdown.Window
	w.Begin(time.Now(), time.Second, time.Second)
	require.True(t, w.Decide(shutdown.Request{}, time.Now()).Allowed)
	w.AfterFunc(nil, func(shutdown.Decision) { t.Error("called") })()
	c, cancel := w.Context(t.Context(), nil)
	defer cancel()
	require.NoError(t, c.Err())
}

// window plays a script. Times are from the beginning of the script.
type window struct {
	shutdown.Window
	t      *testing.T
	began  time.Time
	long   atomic.Int64             // time.Duration that answers take
	called map[string]time.Duration // when the functions were called, by name
	reason map[string]shutdown.Reason
	stops  map[string]func()
}

func (w *window) request(expires time.Duration) shutdown.Request {
	return shutdown.Request{Expires: w.began.Add(expires), Answer: answertimes.Estimate{Long: time.Duration(w.long.Load()), Samples: 1}}
}

// do carries out a command:
//
//	wait TIME              lets the clock pass to TIME
//	long TIME              answers take that long from now on
//	begin ACCEPT LIMIT     begins the shutdown
//	may EXPIRES yes|no REASON [LATEST]
//	after NAME EXPIRES [READY]  waits for the latest time of a request
//	stop NAME              ends the wait
//	called NAME TIME REASON, or: called NAME never
func (w *window) do(f []string) {
	t := w.t
	switch f[0] {
	case "wait":
		time.Sleep(duration(t, f[1]) - time.Since(w.began))
		synctest.Wait()
	case "long":
		w.long.Store(int64(duration(t, f[1])))
	case "begin":
		w.Begin(boottime.Now(), duration(t, f[1]), duration(t, f[2]))
		synctest.Wait()
	case "may":
		d := w.Decide(w.request(duration(t, f[1])), boottime.Now())
		require.Equal(t, f[2:4], []string{map[bool]string{true: "yes", false: "no"}[d.Allowed], string(d.Reason)}, f)
		require.Equal(t, d.Allowed, d.Err() == nil)
		require.Equal(t, !d.Allowed, errkind.Is(d.Err(), errkind.Stopping))
		if d.Reason == shutdown.Running {
			require.Zero(t, d.Latest, f)
		} else {
			require.Equal(t, f[4], d.Latest.Sub(w.began).String(), f)
		}
	case "after":
		q := func(time.Time) shutdown.Request {
			q := w.request(duration(t, f[2]))
			if len(f) > 3 {
				q.Ready = w.began.Add(duration(t, f[3]))
			}
			return q
		}
		w.stops[f[1]] = w.AfterFunc(q, func(d shutdown.Decision) {
			require.NotContains(t, w.called, f[1], "called twice")
			w.called[f[1]], w.reason[f[1]] = time.Since(w.began), d.Reason
		})
		synctest.Wait()
	case "stop":
		w.stops[f[1]]()
	case "called":
		if f[2] == "never" {
			require.NotContains(t, w.called, f[1])
			return
		}
		require.Contains(t, w.called, f[1])
		require.Equal(t, f[2:], []string{w.called[f[1]].String(), string(w.reason[f[1]])}, f)
	default:
		t.Fatalf("unknown command %q", f)
	}
}

func duration(t *testing.T, s string) time.Duration {
	t.Helper()
	d, err := time.ParseDuration(s)
	require.NoError(t, err)
	return d
}

func TestScripts(t *testing.T) {
	for _, s := range script.Read(t, "testdata/scripts.txt") {
		t.Run(s.Name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := &window{t: t, began: boottime.Now(), called: map[string]time.Duration{}, reason: map[string]shutdown.Reason{}, stops: map[string]func(){}}
				for _, l := range s.Lines {
					w.do(strings.Fields(l))
				}
			})
		})
	}
}

// Guards against waits that are not interrupted, or interrupted without the reason.
func TestContextEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var w shutdown.Window
		q := shutdown.Request{Expires: boottime.Now().Add(time.Minute), Answer: answertimes.Estimate{Long: 5 * time.Second}}
		c, cancel := w.Context(t.Context(), func(time.Time) shutdown.Request { return q })
		defer cancel()
		ended, stop := w.Context(t.Context(), func(time.Time) shutdown.Request { return q })
		stop()
		began := time.Now()
		w.Begin(boottime.Now(), 2*time.Second, 6*time.Second)
		<-c.Done()
		require.Equal(t, time.Second, time.Since(began))
		var r *shutdown.RefusalError
		require.ErrorAs(t, context.Cause(c), &r)
		require.Equal(t, shutdown.TooLong, r.Decision.Reason)
		require.Equal(t, errkind.Stopping, errkind.Of(context.Cause(c)).Kind)
		require.Equal(t, context.Canceled, context.Cause(ended))
	})
}

// Guards against functions that still run once they were stopped: a deadline set by one would end what follows.
func TestStopWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var w shutdown.Window
		running, returned := make(chan bool), false
		stop := w.AfterFunc(func(time.Time) shutdown.Request { return shutdown.Request{Expires: boottime.Now().Add(time.Hour)} }, func(shutdown.Decision) {
			close(running)
			time.Sleep(time.Second)
			returned = true
		})
		w.Begin(boottime.Now(), time.Second, time.Minute)
		<-running
		stop()
		require.True(t, returned)
	})
}
