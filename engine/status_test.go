package engine_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/engine"
	"birchlink.dev/birchlink/httpstatus"
	"birchlink.dev/birchlink/httpstatus/statustest"
)

// Guards against answers with invalid statuses that are taken for those of the engine. It may have done what it was asked.
func TestInvalidStatuses(t *testing.T) {
	for _, status := range statustest.Invalid {
		t.Run(status, func(t *testing.T) {
			t.Parallel()
			s := statustest.NewServer(t, status, "Retry-After: 60\r\n", `{"end":true}`)
			c := engine.NewClient("entry-1")
			defer c.Close()
			_, generate := c.Generate(t.Context(), s.Address, engine.Request{})
			_, resume := c.Resume(t.Context(), s.Address, engine.Attempt{})
			_, cancel := c.Cancel(t.Context(), s.Address, engine.Attempt{})
			_, export := c.Export(t.Context(), s.Address, engine.Attempt{})
			_, orders := c.Orders(t.Context(), s.Address)
			for _, err := range []error{
				generate, resume, cancel, export, orders, c.Import(t.Context(), s.Address, engine.Export{}), c.SetOrders(t.Context(), s.Address, engine.Orders{}),
			} {
				require.ErrorIs(t, err, httpstatus.ErrInvalid)
				require.NotErrorIs(t, err, engine.ErrNotRun)
				require.NotErrorIs(t, err, engine.ErrUnreachable)
			}
			require.Equal(t, s.Requests.Load(), s.Connections.Load(), "no connection is used again")
		})
	}
}
