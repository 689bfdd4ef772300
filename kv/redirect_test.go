package kv_test

import (
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/httpstatus/statustest"
	"birchlink.dev/birchlink/kv"
)

// Guards against answers of other locations that are taken for those of the service, and against swaps that are made twice.
func TestRedirects(t *testing.T) {
	calls := map[string]func(*kv.Client) error{
		"get": func(c *kv.Client) error {
			_, err := c.Get(t.Context(), "k")
			return err
		},
		"list": func(c *kv.Client) error {
			_, err := c.List(t.Context(), "k")
			return err
		},
		"watch": func(c *kv.Client) error {
			_, err := c.Watch(t.Context(), "k", 1, time.Second)
			return err
		},
		"swap": func(c *kv.Client) error {
			_, err := c.Swap(t.Context(), kv.Entry{Key: "k", Value: []byte("1")})
			return err
		},
	}
	bodies := map[string]string{"list": "[]"}
	for name, call := range calls {
		for _, status := range statustest.Redirects {
			t.Run(name+" "+status, func(t *testing.T) {
				body := bodies[name]
				if body == "" {
					body = `{"key":"k","rev":1}`
				}
				s := statustest.NewRedirector(t, status, body)
				require.Error(t, call(kv.New(s.Address, "box", 100, 100, metrics.NewRegistry())))
				require.EqualValues(t, 1, s.Requests.Load())
			})
		}
	}
}
