package ingress

import (
	"bytes"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/boottime"
	"birchlink.dev/birchlink/call"
	"birchlink.dev/birchlink/errkind"
	"birchlink.dev/birchlink/fleetstate"
	"birchlink.dev/birchlink/forward"
	"birchlink.dev/birchlink/stand/memstore"
	"birchlink.dev/birchlink/storesession"
)

// Guards against failed requests that a line cut off at some length does not name.
func TestLongReasonsHideRequest(t *testing.T) {
	var b bytes.Buffer
	i := New(Options{}, plainCodec{}, nil, nil, nil, metrics.NewRegistry(), zerolog.New(&b))
	i.state = fleetstate.New(fleetstate.Source{}, &memstore.Store{}, zerolog.Nop())
	i.session = storesession.New(&memstore.Store{}, zerolog.Nop())
	now := boottime.Now()
	i.stopBegan.Store(&now)
	arrived := now.Add(-3 * time.Second)
	q := forward.Request{Call: &call.Call{ID: "r1", Arrived: arrived, Read: arrived.Add(time.Second)}}
	err := errkind.New(errkind.EngineFailed, "%w", errors.New(strings.Repeat("long ", 100)))
	i.failureEvent(q, err, forward.Trace{FirstSent: arrived.Add(2 * time.Second)}).Msg("")
	require.True(t, strings.HasPrefix(b.String(), `{"level":"info","event":"answer","request":"r1",`), b.String())
	require.Contains(t, b.String(), `"body_read":1000,"sent":2000,"stopping":`)
}
