package engine_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/engine"
	"birchlink.dev/birchlink/httpstatus/statustest"
)

// Guards against answers of other locations that are taken for those of the engine, and against attempts and orders that are sent twice.
// The engine may have done what it was asked.
func TestRedirects(t *testing.T) {
	for _, status := range statustest.Redirects {
		t.Run(status, func(t *testing.T) {
			t.Parallel()
			s := statustest.NewRedirector(t, status, `{"end":true}`)
			c := engine.NewClient("entry-1")
			defer c.Close()
			_, generate := c.Generate(t.Context(), s.Address, engine.Request{})
			_, resume := c.Resume(t.Context(), s.Address, engine.Attempt{})
			_, cancel := c.Cancel(t.Context(), s.Address, engine.Attempt{})
			_, export := c.Export(t.Context(), s.Address, engine.Attempt{})
			_, orders := c.Orders(t.Context(), s.Address)
			errs := []error{
				generate, resume, cancel, export, orders, c.Import(t.Context(), s.Address, engine.Export{}), c.SetOrders(t.Context(), s.Address, engine.Orders{}),
			}
			for _, err := range errs {
				require.Error(t, err)
				require.NotErrorIs(t, err, engine.ErrNotRun)
			}
			require.EqualValues(t, len(errs), s.Requests.Load())
		})
	}
}
