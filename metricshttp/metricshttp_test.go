package metricshttp_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/metricshttp"
)

func TestServesMetrics(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := l.Addr().String()
	require.NoError(t, l.Close())
	r := metrics.NewRegistry()
	s := metricshttp.New(address, r, zerolog.Nop())
	s.RegisterGauge("configuration.version", func() int64 { return 7 })
	metrics.GetOrRegisterCounter("refused.overloaded", r).Inc(3)
	require.NoError(t, s.Start(t.Context(), nil))
	a, err := http.Get("http://" + address + metricshttp.Path)
	require.NoError(t, err)
	defer a.Body.Close()
	b, err := io.ReadAll(a.Body)
	require.NoError(t, err)
	require.Regexp(t, `gauge configuration.version\s+value:\s+7`, string(b))
	require.Regexp(t, `counter refused.overloaded\s+count:\s+3`, string(b))
	require.NoError(t, s.Stop(context.Background()))
}

// A metrics address that is in use does not keep the box from starting.
func TestStartWithAddressInUse(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	s := metricshttp.New(l.Addr().String(), metrics.NewRegistry(), zerolog.Nop())
	require.NoError(t, s.Start(t.Context(), nil))
	require.NoError(t, s.Stop(context.Background()))
}
