package gossip_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/stand/memstore"
)

// A box that is asked for a newer configuration than it has answers that it has none, which is no error.
func TestNoNewerConfiguration(t *testing.T) {
	m := &memstore.Store{}
	m.Set("config", `{"Version":3}`)
	b := startBox(t, m, "a", "dc0")
	waitUntil(t, func() bool { return b.version() == 3 })
	for since, isEmpty := range map[uint64]bool{2: false, 3: true, 4: true} {
		var zip []byte
		require.NoError(t, b.node.Bulk.Transfer(t.Context(), b.Address, "gossip.configuration", since, &zip, false, func(int) {}))
		require.Equal(t, isEmpty, len(zip) == 0)
	}
}
