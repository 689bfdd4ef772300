package mirror

import "birchlink.dev/birchlink/store"

// Limits of the changes that are read one by one, in bytes: the least, and the one while the sizes of the keys are not known.
const (
	minWatchLimit     = 64 << 10
	unknownWatchLimit = 1 << 20
)

// sizes holds the sizes of the keys under the prefix, in bytes. Its map is nil until all keys have been read.
type sizes struct {
	keys  map[string]int
	total int
}

// set updates the sizes by changes, or by all keys.
func (s *sizes) set(items []store.Item, whole bool) {
	if whole {
		*s = sizes{keys: make(map[string]int, len(items))}
	}
	if s.keys == nil {
		return
	}
	for _, i := range items {
		s.total -= s.keys[i.Key]
		delete(s.keys, i.Key)
		if !i.Deleted {
			s.keys[i.Key] = i.Size()
			s.total += i.Size()
		}
	}
}

// watchLimit returns the size from which reading all keys takes less than reading the changes. It leaves room for one change
// of each key and some growth.
func (s *sizes) watchLimit() int {
	if s.keys == nil {
		return unknownWatchLimit
	}
	return max(s.total+s.total/2, minWatchLimit)
}
