package daemon_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"birchlink.dev/birchlink/platform/standin"
)

// changesTest is a box before two servers, with streams that have begun when the servers fall silent.
type changesTest struct {
	*platform
	box *entryBox
}

const (
	changesStreams = 20
	changesEvents  = 10
)

func newChangesTest(t testing.TB) *changesTest {
	c := &changesTest{platform: newPlatform(t, 0)}
	c.slots, c.events, c.work = 1000, changesEvents, time.Millisecond
	c.startServer()
	c.startServer()
	c.box = c.startFleet("a")[0]
	return c
}

func (c *changesTest) setSilent(silent bool) {
	for _, s := range c.servers {
		s.SetSilent(silent)
	}
}

// play begins streams, calls change while the servers are silent, and returns once the streams have ended. All must be whole.
func (c *changesTest) play(change func()) {
	began, silenced := make(chan struct{}, changesStreams), make(chan struct{})
	var g errgroup.Group
	for i := range changesStreams {
		id := fmt.Sprint("stream", i)
		g.Go(func() error {
			v := &standin.Stream{}
			q, err := v.NewRequest(c.box.callersAddress, "/stream/x", id, time.Minute)
			if err != nil {
				return err
			}
			q.GetBody = nil
			a, err := http.DefaultClient.Do(q)
			if err != nil {
				return err
			}
			defer a.Body.Close()
			body := bufio.NewReader(a.Body)
			err = v.Read(id, body, 1)
			began <- struct{}{}
			<-silenced
			if err == nil {
				err = v.Read(id, body, changesEvents)
			}
			if err != nil || v.Events != changesEvents {
				return fmt.Errorf("%s ended after %d events: %w", id, v.Events, err)
			}
			return nil
		})
	}
	for range changesStreams {
		<-began
	}
	c.setSilent(true)
	close(silenced)
	change()
	c.setSilent(false)
	require.NoError(c.t, g.Wait())
}

// configure installs version 2 of the configuration with an edit, and returns when the box has it.
func (c *changesTest) configure(edit func(document map[string]any)) {
	var d map[string]any
	require.NoError(c.t, json.Unmarshal([]byte(standin.Config(2, "api")), &d))
	edit(d)
	b, err := json.Marshal(d)
	require.NoError(c.t, err)
	c.store.Set(standin.ConfigKey, string(b))
	require.Eventually(c.t, func() bool { return c.box.hasMetric(c.t, "configuration.version", 2) }, 20*time.Second, time.Millisecond)
}

// Guards against new settings and configurations that end requests in progress: streams keep the route, account and deadline
// with which they began.
func TestChangesEndNoSilentStreams(t *testing.T) {
	routes := func(d map[string]any) []any { return d["routes"].([]any) }
	for name, edit := range map[string]func(map[string]any){
		"timeout": func(d map[string]any) {
			for _, r := range routes(d) {
				r.(map[string]any)["timeout_ms"] = 1
			}
		},
		"attempts": func(d map[string]any) {
			for _, r := range routes(d) {
				r.(map[string]any)["max_attempts"] = 1
			}
		},
		"route": func(d map[string]any) { d["routes"] = routes(d)[:1] },
		"service": func(d map[string]any) {
			for _, r := range routes(d) {
				r.(map[string]any)["service"] = "other"
			}
			d["services"] = []any{map[string]any{"name": "other"}}
		},
		"account": func(d map[string]any) { d["tenants"] = []any{} },
	} {
		t.Run(name, func(t *testing.T) {
			c := newChangesTest(t)
			defer func() { stopAll(t, []*entryBox{c.box}) }()
			c.play(func() { c.configure(edit) })
		})
	}
	t.Run("settings", func(t *testing.T) {
		c := newChangesTest(t)
		defer func() { stopAll(t, []*entryBox{c.box}) }()
		path := filepath.Join(t.TempDir(), "box.ini")
		require.NoError(t, os.WriteFile(path, []byte("[log]\nlevel = nothing\n"), 0o600))
		c.play(func() { c.box.Reload(path) })
	})
}

// Guards against a planned stop that ends the streams of silent servers before the stop limit.
func TestStopEndsNoSilentStreams(t *testing.T) {
	c := newChangesTest(t)
	stopped := make(chan error, 1)
	c.play(func() {
		go func() { stopped <- c.box.App.Stop(context.Background()) }()
		require.Eventually(t, func() bool { return !c.box.isReady(t) }, 20*time.Second, time.Millisecond)
	})
	require.NoError(t, <-stopped)
}
