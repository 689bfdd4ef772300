package member

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"
	"pgregory.net/rapid"
)

// network delivers the calls between the boxes of a test and counts their bytes.
type network struct {
	mu    sync.Mutex
	boxes map[string]*Service
	down  map[string]bool
	bytes int
}

// transport is the caller of one box.
type transport struct {
	*network
	from string
}

func (t transport) lookup(to string) *Service {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.down[t.from] || t.down[to] {
		return nil
	}
	return t.boxes[to]
}

func (t transport) Call(c context.Context, address, method string, in, out any) error {
	s := t.lookup(address)
	if s == nil {
		return context.DeadlineExceeded
	}
	b, err := msgpack.Marshal(in)
	if err != nil {
		return err
	}
	var a any
	if method == "member.probe" {
		var p probe
		if err := msgpack.Unmarshal(b, &p); err != nil {
			return err
		}
		a, err = s.handleProbe(c, p)
	} else {
		var x syncMessage
		if err := msgpack.Unmarshal(b, &x); err != nil {
			return err
		}
		a, err = s.handleSync(c, x)
	}
	if err != nil {
		return err
	}
	v, err := msgpack.Marshal(a)
	t.mu.Lock()
	t.bytes += len(b) + len(v)
	t.mu.Unlock()
	if err != nil {
		return err
	}
	return msgpack.Unmarshal(v, out)
}

// newGroup returns n boxes of one data centre that know each other, and their network.
func newGroup(n int) (*network, []*Service) {
	w := &network{boxes: map[string]*Service{}, down: map[string]bool{}}
	ss := make([]*Service, n)
	for i := range ss {
		b := fmt.Sprintf("box-%03d", i)
		ss[i] = New(b, "a", nil, zerolog.Nop())
		ss[i].self.Address, ss[i].client = b, transport{w, b}
		w.boxes[b] = ss[i]
	}
	for _, s := range ss {
		for _, o := range ss {
			s.table.Merge([]Member{o.self})
		}
	}
	return w, ss
}

// runRounds runs n probe rounds on every box that is not down.
func runRounds(t *testing.T, w *network, ss []*Service, n int) {
	for range n {
		for _, s := range ss {
			if !w.down[s.self.Box] {
				s.probeRound(t.Context())
			}
		}
		time.Sleep(probeInterval)
	}
}

// A partitioned box is dead to the others within 20 rounds. It is alive again under
// the same incarnation within 20 rounds after the partition ends.
func TestPartitionedBoxRecovers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, ss := newGroup(9)
		w.down["box-003"] = true
		runRounds(t, w, ss, 20)
		for _, s := range ss {
			if s.self.Box != "box-003" {
				require.Len(t, s.LocalBoxes(), 8)
			}
		}
		w.down["box-003"] = false
		runRounds(t, w, ss, 20)
		for _, s := range ss {
			require.Len(t, s.LocalBoxes(), 9)
			_, known := s.ResolveIncarnation(ss[3].self.Incarnation)
			require.True(t, known)
		}
	})
}

// While the boxes are split into two halves, each box has only the members of its half as
// up. After the partition ends, the halves merge through their seeds.
func TestPartitionHeals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w, ss := newGroup(8)
		half := &network{boxes: map[string]*Service{}, down: map[string]bool{}}
		for _, s := range ss[4:] {
			s.client = transport{half, s.self.Box}
			half.boxes[s.self.Box] = s
			delete(w.boxes, s.self.Box)
		}
		runRounds(t, w, ss, 30)
		for _, s := range ss {
			require.Len(t, s.LocalBoxes(), 4)
		}
		for _, s := range ss[4:] {
			s.client = transport{w, s.self.Box}
			w.boxes[s.self.Box] = s
			s.Seeds = []string{"box-000"}
		}
		for _, s := range ss[4:] {
			s.syncWithSeed(t.Context())
		}
		runRounds(t, w, ss, 20)
		for _, s := range ss {
			require.Len(t, s.LocalBoxes(), 8)
		}
	})
}

// Tables that have merged the same rows in any order are equal.
func TestMergeIsOrderIndependent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ms := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Member {
			return Member{
				Box: rapid.StringMatching("[a-d]").Draw(t, "box"), Started: rapid.Int64Range(1, 3).Draw(t, "started"),
				Refutations: rapid.Uint32Range(0, 3).Draw(t, "number"), State: State(rapid.IntRange(int(Alive), int(Left)).Draw(t, "state")), Successor: "x",
			}
		}), 1, 20).Draw(t, "rows")
		var a, b Table
		a.Merge(ms)
		for _, i := range rapid.Permutation(indexes(len(ms))).Draw(t, "order") {
			b.Merge(ms[i : i+1])
		}
		require.Equal(t, a.Rows(), b.Rows())
		require.Equal(t, a.Digest(), b.Digest())
	})
}

func indexes(n int) []int {
	is := make([]int, n)
	for i := range is {
		is[i] = i
	}
	return is
}

// BenchmarkRound measures a probe round of one box in a stable group, and the bytes that it sends.
func BenchmarkRound(b *testing.B) {
	for _, n := range []int{6, 39, 350} {
		b.Run(fmt.Sprintf("members=%d", n), func(b *testing.B) {
			w, ss := newGroup(n)
			k := 0
			for b.Loop() {
				ss[0].probeRound(b.Context())
				k++
			}
			x, err := msgpack.Marshal(ss[0].syncState())
			require.NoError(b, err)
			b.ReportMetric(float64(w.bytes)/float64(k), "bytes/probe")
			b.ReportMetric(float64(len(x)), "bytes/exchange")
		})
	}
}
