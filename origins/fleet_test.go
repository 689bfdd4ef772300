package origins

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"github.com/vmihailenco/msgpack/v5"

	"birchlink.dev/birchlink/boottime"
	"birchlink.dev/birchlink/fleetclock"
	"birchlink.dev/birchlink/origin"
	"birchlink.dev/birchlink/stand/memstore"
	"birchlink.dev/birchlink/versionhistory"
	"birchlink.dev/birchlink/wait"
)

// relaysPerDataCentre, allNear and allKnown are those of package gossip: in fleets of up to so many boxes all are nearby,
// or known to all.
const (
	relaysPerDataCentre = 2
	allNear             = 12
	allKnown            = 100
)

// frameSize is the size of a message between boxes without its body, in bytes.
const frameSize = 32

// member is a box of a fleet.
type member struct {
	process atomic.Pointer[Directory]
	address string
	dc      int
	relay   bool
	away    atomic.Bool // no other box reaches it, and it gets no callers
	// cutAt is since when it gets nothing from other boxes and the store, and they nothing from it, while callers reach it.
	cutAt atomic.Pointer[time.Time]
	view  map[string]int // number of endpoints by version, as this box knows them
	bytes int            // sent and received
}

// begun is a stream whose caller has its first event.
type begun struct {
	id, account, version string
	box                  int
}

// fleet is a fleet of boxes under a script.
type fleet struct {
	t         *testing.T
	rnd       *rand.Rand
	dcs       int
	boxes     []*member
	endpoints map[string]int // by version
	known     []string       // versions in the snapshot
	settled   []string       // of these, those that are settled
	store     *memstore.Store
	storeDown atomic.Pointer[time.Time] // nil while it answers
	streams   []begun
	span      time.Duration

	mu sync.Mutex // guards the counts of bytes
}

var errAway = errors.New("the box is not reached")

// start starts the process of a box, which knows nothing but the records of endpoints and, if the store answers, the snapshot.
func (f *fleet) start(i int) {
	b := f.boxes[i]
	if old := b.process.Load(); old != nil {
		old.cancel()
	}
	now := boottime.Now()
	d := New(metrics.NewRegistry(), zerolog.Nop())
	d.Versions = &versionhistory.History{}
	b.view = map[string]int{}
	f.catchUp(b, d)
	if f.storeDown.Load() == nil {
		d.Versions.Restore(map[string][]string{"s": f.known}, map[string][]string{"s": f.settled}, true, now)
	}
	d.Box, d.Store, d.Prefix, d.Clock = b.address, f.store, "streams/", fleetclock.New(time.Now)
	d.Boxes, d.IsRelay = func() Boxes { return f.lists(b) }, func() bool { return b.relay }
	d.Relay = func() string { return f.relayOf(b) }
	d.StoreSilence = func() time.Duration {
		if cut := b.cutAt.Load(); cut != nil {
			return time.Since(*cut)
		}
		if down := f.storeDown.Load(); down != nil {
			return time.Since(*down)
		}
		return 0
	}
	d.Call = func(c context.Context, address, method string, in, out any) error {
		return f.call(b, address, method, in, out)
	}
	b.process.Store(d)
	f.confirm(b, d)
	go d.runArchive(d.ctx)
	go d.runSettle(d.ctx)
	go func() {
		for d.ctx.Err() == nil {
			f.confirm(b, d)
			wait.For(d.ctx, confirmInterval)
		}
	}()
}

// confirmInterval is the interval at which boxes hear that they know all endpoints.
const confirmInterval = 300 * time.Millisecond

// confirm tells a box that it knows all endpoints, if it reaches the store or a box that does.
func (f *fleet) confirm(b *member, d *Directory) {
	if f.storeDown.Load() == nil && b.cutAt.Load() == nil {
		d.Versions.Confirm(boottime.Now())
	}
}

// lists returns the boxes that a box knows, as package gossip does.
func (f *fleet) lists(b *member) Boxes {
	var out Boxes
	for _, o := range f.boxes {
		switch {
		case o == b || o.away.Load():
		case o.dc == b.dc || len(f.boxes) <= allNear:
			out.Near = append(out.Near, o.address)
		case len(f.boxes) <= allKnown:
			out.Far = append(out.Far, o.address)
		}
		if o.relay && o.dc != b.dc && !o.away.Load() {
			out.Relays = append(out.Relays, o.address)
		}
	}
	return out
}

// relayOf returns the relay of a box.
func (f *fleet) relayOf(b *member) string {
	i, err := strconv.Atoi(b.address)
	require.NoError(f.t, err)
	if r := f.boxes[b.dc+i/f.dcs%relaysPerDataCentre*f.dcs]; !r.away.Load() {
		return r.address
	}
	return ""
}

// call carries a message between boxes.
func (f *fleet) call(from *member, address, method string, in, out any) error {
	body, err := msgpack.Marshal(in)
	require.NoError(f.t, err)
	i, err := strconv.Atoi(address)
	require.NoError(f.t, err)
	to := f.boxes[i]
	f.count(from, len(body)+len(method)+frameSize, to)
	if to.away.Load() || from.away.Load() || to.cutAt.Load() != nil || from.cutAt.Load() != nil {
		return errAway
	}
	d := to.process.Load()
	var q Question
	var gs []origin.Group
	if method == methodAsk {
		require.NoError(f.t, msgpack.Unmarshal(body, &q))
		a := d.answer(d.ctx, q)
		*out.(*Reply) = a
		body, err = msgpack.Marshal(a)
		require.NoError(f.t, err)
		f.count(to, len(body)+frameSize, from)
		return nil
	}
	require.NoError(f.t, msgpack.Unmarshal(body, &gs))
	if method == methodPut {
		d.accept(gs)
	} else {
		d.acceptForArchive(gs)
	}
	f.count(to, 1+frameSize, from)
	return nil
}

// count counts a message.
func (f *fleet) count(from *member, n int, to *member) {
	f.mu.Lock()
	defer f.mu.Unlock()
	from.bytes += n
	to.bytes += n
}

func TestFleets(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, p := range files {
		t.Run(strings.TrimSuffix(filepath.Base(p), ".txt"), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) { runScript(t, p) })
		})
	}
}

func runScript(t *testing.T, path string) {
	r, err := os.Open(path)
	require.NoError(t, err)
	defer r.Close()
	f := &fleet{t: t, rnd: rand.New(rand.NewPCG(1, 2)), endpoints: map[string]int{}, store: &memstore.Store{}}
	defer func() {
		for _, b := range f.boxes {
			b.process.Load().cancel()
		}
	}()
	s := bufio.NewScanner(r)
	for n := 1; s.Scan(); n++ {
		if w := strings.Fields(s.Text()); len(w) > 0 && w[0] != "#" {
			f.step(w[0], w[1:], fmt.Sprintf("%s:%d", path, n))
		}
	}
	require.NoError(t, s.Err())
}

func (f *fleet) step(name string, w []string, at string) {
	number := func(i int) float64 {
		n, err := strconv.ParseFloat(w[i], 64)
		require.NoError(f.t, err, at)
		return n
	}
	switch name {
	case "fleet": // BOXES DATA_CENTRES
		f.dcs = int(number(1))
		for i := range int(number(0)) {
			f.boxes = append(f.boxes, &member{address: fmt.Sprint(i), dc: i % f.dcs, relay: i < f.dcs*relaysPerDataCentre})
		}
	case "endpoints": // VERSION COUNT, from now on
		f.setEndpoints(w[0], int(number(1)))
	case "start":
		f.settled = f.known
		for i := range f.boxes {
			f.start(i)
		}
	case "begin": // STREAMS STREAMS_PER_SECOND, at the versions in turn
		f.begin(int(number(0)), number(1))
	case "wait": // DURATION
		d, err := time.ParseDuration(w[0])
		require.NoError(f.t, err, at)
		time.Sleep(d)
	case "restart": // SHARE of the boxes lose their memory at the same time
		f.snapshot()
		for _, i := range f.rnd.Perm(len(f.boxes))[:int(number(0)*float64(len(f.boxes)))] {
			f.start(i)
		}
	case "away": // DATA_CENTRE is away
		for _, b := range f.boxes {
			b.away.Store(b.away.Load() || b.dc == int(number(0)))
		}
	case "cut": // SHARE of the boxes are cut off from each other, all others and the store, or paused: their callers come first
		for _, i := range f.rnd.Perm(len(f.boxes))[:int(number(0)*float64(len(f.boxes)))] {
			now := time.Now()
			f.boxes[i].cutAt.Store(&now)
		}
	case "join": // the boxes that were cut off read what is newest
		for _, b := range f.boxes {
			d := b.process.Load()
			if b.cutAt.Swap(nil) != nil {
				d.Versions.Skip(false, boottime.Now())
			}
			f.catchUp(b, d)
		}
	case "gone": // SHARE of the boxes are gone for good
		for _, i := range f.rnd.Perm(len(f.boxes))[:int(number(0)*float64(len(f.boxes)))] {
			f.boxes[i].away.Store(true)
		}
	case "store": // down or up
		f.store.SetDown(w[0] == "down")
		f.storeDown.Store(nil)
		if now := time.Now(); w[0] == "down" {
			f.storeDown.Store(&now)
			return
		}
		for _, b := range f.boxes {
			if d := b.process.Load(); d != nil && !b.relay { // relays watch on from where they were
				d.Versions.Skip(false, boottime.Now())
			}
		}
	case "expect": // SHARE of the streams at least whose version is found at other boxes; nobody is told a wrong one
		f.expect(number(0), at)
	case "expect_unnamed": // SHARE of the streams at least goes on if callers don't name them; none at a wrong version
		f.expectUnnamed(number(0), at)
	case "may_begin": // COUNT of versions at which each box may begin streams
		for _, b := range f.boxes {
			require.Len(f.t, f.versions(b), int(number(0)), at)
		}
	case "bytes": // BYTES_PER_SECOND at most that the boxes sent and received in the mean, and BYTES at any one
		f.expectBytes(number(0), number(1), at)
	case "records": // COUNT at most at any box
		n := slices.MaxFunc(f.boxes, func(a, b *member) int { return cmp.Compare(a.process.Load().Len(), b.process.Load().Len()) }).process.Load().Len()
		f.t.Logf("%s: at most %d records at a box", at, n)
		require.LessOrEqual(f.t, n, int(number(0)), at)
	default:
		f.t.Fatalf("%s: no step %q", at, name)
	}
}

// setEndpoints sets the number of endpoints of a version, which all boxes learn that are not cut off, and the snapshot has.
func (f *fleet) setEndpoints(version string, n int) {
	f.endpoints[version] = n
	for _, b := range f.boxes {
		if d := b.process.Load(); d != nil && b.cutAt.Load() == nil {
			f.catchUp(b, d)
		}
	}
	if !slices.Contains(f.known, version) {
		f.known = append(f.known, version)
	}
}

// catchUp tells a box which endpoints there are.
func (f *fleet) catchUp(b *member, d *Directory) {
	for v, n := range f.endpoints {
		for ; b.view[v] < n; b.view[v]++ {
			d.Versions.Add("s", v, boottime.Now())
		}
		for ; b.view[v] > n; b.view[v]-- {
			d.Versions.Remove("s", v, boottime.Now())
		}
	}
}

// snapshot writes what a box that is not cut off knows to be settled.
func (f *fleet) snapshot() {
	for _, b := range f.boxes {
		if b.cutAt.Load() == nil && f.storeDown.Load() == nil {
			f.settled = b.process.Load().Versions.Settled("s")
			return
		}
	}
}

// versions returns the versions at which a box may begin streams.
func (f *fleet) versions(b *member) []string {
	var out []string
	unsettled := b.process.Load().Versions.Unsettled("s", boottime.Now())
	for v, n := range b.view {
		if n > 0 && !slices.Contains(unsettled, v) {
			out = append(out, v)
		}
	}
	slices.Sort(out)
	return out
}

func (f *fleet) begin(n int, perSecond float64) {
	began := time.Now()
	f.mu.Lock()
	for _, b := range f.boxes {
		b.bytes = 0
	}
	f.mu.Unlock()
	interval := time.Duration(float64(time.Second) / perSecond)
	for i := range n {
		box := f.liveBox(-1)
		if versions := f.versions(f.boxes[box]); len(versions) > 0 {
			s := begun{fmt.Sprint("stream-", len(f.streams)), fmt.Sprint("account-", i%5), versions[i%len(versions)], box}
			f.boxes[s.box].process.Load().Record(s.id, s.account, origin.Origin{Service: "s", Version: s.version}, boottime.Now().Add(15*time.Second))
			f.streams = append(f.streams, s)
		}
		time.Sleep(interval)
	}
	synctest.Wait()
	f.span = time.Since(began)
}

// liveBox returns a box that gets callers, other than one.
func (f *fleet) liveBox(other int) int {
	for {
		if i := f.rnd.IntN(len(f.boxes)); i != other && !f.boxes[i].away.Load() {
			return i
		}
	}
}

func (f *fleet) expect(share float64, at string) {
	found := 0
	for _, s := range f.streams {
		b := f.boxes[f.liveBox(s.box)].process.Load()
		o := b.Find(context.Background(), "r", s.id, "s", s.account)
		require.False(f.t, o.Foreign, at)
		if o.Known {
			require.Equal(f.t, s.version, o.Version, "%s: %s", at, s.id)
			found++
		}
		if o := b.Find(context.Background(), "r", s.id, "s", "somebody"); o.Known {
			require.False(f.t, o.Foreign)
			names, _ := b.Versions.Recent("s", boottime.Now())
			require.Len(f.t, names, 1, "%s: another account took %s up", at, s.id)
		}
	}
	f.t.Logf("%s: %.3f of %d streams found", at, float64(found)/float64(len(f.streams)), len(f.streams))
	require.GreaterOrEqual(f.t, float64(found)/float64(len(f.streams)), share, at)
}

func (f *fleet) expectUnnamed(share float64, at string) {
	found, wrong := 0, 0
	for _, s := range f.streams {
		o := f.boxes[f.liveBox(s.box)].process.Load().Find(context.Background(), "r", "", "s", s.account)
		if o.Known && o.Version == s.version {
			found++
		} else if o.Known {
			wrong++
		}
	}
	f.t.Logf("%s: %.3f of %d streams found without their names, %d wrong", at, float64(found)/float64(len(f.streams)), len(f.streams), wrong)
	require.Zero(f.t, wrong, at)
	require.GreaterOrEqual(f.t, float64(found)/float64(len(f.streams)), share, at)
}

func (f *fleet) expectBytes(mean, most float64, at string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	sum, top := 0.0, 0.0
	for _, b := range f.boxes {
		n := float64(b.bytes) / f.span.Seconds()
		sum, top = sum+n, max(top, n)
	}
	sum /= float64(len(f.boxes))
	f.t.Logf("%s: %.0f bytes/s at a box in the mean, %.0f at one", at, sum, top)
	require.LessOrEqual(f.t, sum, mean, at)
	require.LessOrEqual(f.t, top, most, at)
}

// Callers that name streams which nobody began must not make a box send more questions than it bears, and get no wrong
// answer beyond that.
func TestQuestionsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{t: t, rnd: rand.New(rand.NewPCG(1, 2)), endpoints: map[string]int{}, store: &memstore.Store{}}
		for _, s := range []string{"fleet 8 3", "endpoints v1 2", "start"} {
			w := strings.Fields(s)
			f.step(w[0], w[1:], s)
		}
		d := f.boxes[0].process.Load()
		var asked atomic.Int64
		d.Call = func(c context.Context, _, _ string, _, _ any) error {
			asked.Add(1)
			<-c.Done()
			return c.Err()
		}
		var known atomic.Int64
		for i := range 1000 {
			go func() {
				if d.Find(t.Context(), "r", fmt.Sprint("nobody's-", i), "s", "a").Known {
					known.Add(1)
				}
			}()
		}
		time.Sleep(time.Second)
		synctest.Wait()
		require.LessOrEqual(t, asked.Load(), int64(maxAsking*len(f.boxes)))
		require.LessOrEqual(t, known.Load(), int64(maxAsking)) // those that asked believe that there is one version
		for _, b := range f.boxes {
			b.process.Load().cancel()
		}
	})
}
