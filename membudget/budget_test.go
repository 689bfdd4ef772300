package membudget_test

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/membudget"
)

func ExampleBudget() {
	b := membudget.Budget{Total: 10}
	fmt.Println(b.Acquire(6), b.Acquire(5), b.Acquire(4))
	b.Release(6)
	fmt.Println(b.Acquire(5), b.Held())
	// Output:
	// true false true
	// true 9
}

// Concurrent users never hold more than the total, and all can be returned.
func TestConcurrentUse(t *testing.T) {
	b := membudget.Budget{Total: 3}
	var held, most atomic.Int64
	var g sync.WaitGroup
	for range 8 {
		g.Go(func() {
			for range 1000 {
				if !b.Acquire(1) {
					continue
				}
				n := held.Add(1)
				for m := most.Load(); n > m && !most.CompareAndSwap(m, n); m = most.Load() {
				}
				held.Add(-1)
				b.Release(1)
			}
		})
	}
	g.Wait()
	require.LessOrEqual(t, most.Load(), b.Total)
	require.Zero(t, b.Held())
}
