package gossip

import "sync"

// maxUpdatesInFlight bounds the updates under way to one box. A box that is slower misses some, and catches up with the next
// one or in its next round.
const maxUpdatesInFlight = 8

// inFlight counts the updates under way by address. The zero value is ready to use.
type inFlight struct {
	mu    sync.Mutex
	count map[string]int
}

// enter reports whether an update may be sent to an address, and counts it.
func (i *inFlight) enter(address string) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.count[address] >= maxUpdatesInFlight {
		return false
	}
	if i.count == nil {
		i.count = map[string]int{}
	}
	i.count[address]++
	return true
}

// leave ends an update.
func (i *inFlight) leave(address string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.count[address]--; i.count[address] == 0 {
		delete(i.count, address)
	}
}
