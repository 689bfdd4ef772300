package peer

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"birchlink.dev/birchlink/errkind"
	"birchlink.dev/birchlink/frame"
	"birchlink.dev/birchlink/membudget"
)

// dialTimeout bounds the TCP connection setup.
const dialTimeout = time.Second

// maxSilence is how long a connection with pending calls may deliver no frame. After that,
// it is retired when one of the calls is cancelled or times out: it gets no further calls. A
// connection can die without a reset, which TCP detects only after minutes. The limit is
// longer than a busy box takes to answer; a dead connection makes two rounds of half a second
// fail.
const maxSilence = 900 * time.Millisecond

// minSilentRounds is how many rounds of maxSilence a retired connection must not answer a ping,
// while another one to the same peer answers after each, to be closed with its calls. Without
// the other one's answers the peer may be paused.
const minSilentRounds = 2

// A connection is known to work for maxIdle after bytes were received, or for maxWait while calls wait for answers.
const (
	maxIdle = time.Second
	maxWait = 300 * time.Millisecond
)

// methodPing is a call that every peer answers at once.
const methodPing = "peer.ping"

// maxQueuedBytes bounds the frames that a client has received for its calls and that these have not read. It has
// room for two of the largest answers.
const maxQueuedBytes = 2*frame.MaxSize + 4<<20

// Client calls peers by address. It keeps one connection to each peer and multiplexes
// the calls on it. It is safe for concurrent use.
type Client struct {
	secret string
	local  *net.TCPAddr
	mu     sync.Mutex
	links  map[string]*link
	old    map[*link]string // retired connections with pending calls, and their addresses
	queued membudget.Budget // queued frames of all links
	group  sync.WaitGroup
}

// link is a connection with its pending calls.
type link struct {
	conn   *frame.Conn
	queued *membudget.Budget
	mu     sync.Mutex
	lastID uint64
	calls  map[uint64]*inbox
	done   chan struct{}

	// retired is whether the connection gets no further calls. It is closed after the last one.
	retired bool

	// waitingSince is when the first call since the last received frame was made, or later bytes were received; zero
	// if there was no call.
	waitingSince time.Time

	receivedAt time.Time // of the last bytes, or when the connection was made
}

// received tells the calls that follow their bytes how many have come.
func (l *link) received(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.receivedAt = time.Now()
	if !l.waitingSince.IsZero() {
		l.waitingSince = l.receivedAt
	}
	for _, b := range l.calls {
		if b.onBytes != nil {
			b.onBytes(n)
		}
	}
}

// NewClient returns a client without connections.
func NewClient(secret string) *Client {
	return &Client{
		secret: secret, links: map[string]*link{}, old: map[*link]string{}, queued: membudget.Budget{Total: maxQueuedBytes},
	}
}

// Call makes a call and decodes its result into out, unless out is nil. Errors are
// those of Stream.
func (c *Client) Call(x context.Context, address, method string, in, out any) error {
	return c.Stream(x, address, method, in, out, nil)
}

// Stream makes a call, passes each item to onItem, unless that is nil, and decodes the
// result into out, unless that is nil. An error of onItem ends the call. A connection
// failure is returned as an error of kind errkind.Unavailable, and so is an answer that is sent
// faster than it is read and for which there is no memory; the call may or may not have taken effect. Errors of the remote handler keep their kind, message and
// RetryAfter.
func (c *Client) Stream(x context.Context, address, method string, in, out any, onItem func([]byte) error) error {
	return c.stream(x, address, method, in, out, onItem, nil)
}

// Transfer makes a call with a large answer, as Call does. If renew is set, it makes a new connection, which later calls use too,
// unless the one that is open is known to work. OnBytes is called with the number of bytes of each read from the connection
// meanwhile, which may belong to answers of other calls too. It must not block.
func (c *Client) Transfer(x context.Context, address, method string, in, out any, renew bool, onBytes func(n int)) error {
	if renew {
		c.retireUnlessLive(address)
	}
	return c.stream(x, address, method, in, out, nil, onBytes)
}

func (c *Client) stream(
	x context.Context, address, method string, in, out any, onItem func([]byte) error, onBytes func(n int),
) error {
	l, err := c.connect(x, address)
	if err != nil {
		return &errkind.Error{Kind: errkind.Unavailable, Message: "peer " + address, Err: err}
	}
	id, answers := l.openCall(onBytes)
	defer l.closeCall(id)
	b, err := msgpack.Marshal(in)
	if err != nil {
		return fmt.Errorf("encode call: %w", err)
	}
	if err := l.conn.Write(frame.Message{ID: id, Type: frame.Call, Method: method, Body: b}, writeTimeout); err != nil {
		l.conn.Close()
		return &errkind.Error{Kind: errkind.Unavailable, Message: "peer " + address, Err: err}
	}
	for {
		for m, ok := answers.first(); ok; m, ok = answers.first() {
			if last, err := handleFrame(m, out, onItem); last || err != nil {
				return err
			}
			answers.removeFirst()
		}
		if answers.isCut() {
			l.cancelCall(id)
			return errkind.New(errkind.Unavailable, "peer %s sends answers faster than they are read", address)
		}
		select {
		case <-answers.ready:
		case <-x.Done():
			c.retireIfSilent(address, l)
			l.cancelCall(id)
			return x.Err()
		case <-l.done:
			// Handle the frames that arrived before the connection ended.
			if answers.isEmpty() {
				return errkind.New(errkind.Unavailable, "peer %s left", address)
			}
		}
	}
}

// Takeover opens a connection of its own to a peer, makes a call on it, and decodes the first frame of
// the answer into out. From then on the connection belongs to the caller. Errors are those of Stream.
func (c *Client) Takeover(x context.Context, address, method string, in, out any) (*frame.Conn, error) {
	f, err := c.dialFrames(x, address)
	if err == nil {
		err = closeOnError(x, f, func() error { return c.takeOver(f, method, in, out) })
	}
	if err != nil {
		return nil, &errkind.Error{Kind: errkind.Unavailable, Message: "peer " + address, Err: err}
	}
	return f, nil
}

// closeOnError calls a function that uses a connection, and closes the connection if the function fails or the
// context ends before it returns.
func closeOnError(x context.Context, f *frame.Conn, use func() error) error {
	stop := context.AfterFunc(x, func() { f.Close() })
	err := use()
	if !stop() {
		err = x.Err()
	}
	if err != nil {
		f.Close()
	}
	return err
}

func (c *Client) takeOver(f *frame.Conn, method string, in, out any) error {
	if err := c.handshake(f); err != nil {
		return err
	}
	b, err := msgpack.Marshal(in)
	if err != nil {
		return fmt.Errorf("encode call: %w", err)
	}
	if err := f.Write(frame.Message{Type: frame.Call, Method: method, Body: b}, writeTimeout); err != nil {
		return err
	}
	m, err := f.Read()
	if err != nil {
		return err
	}
	_, err = handleFrame(m, out, nil)
	return err
}

// handleFrame handles one frame of a call and reports whether it is the last.
func handleFrame(m frame.Message, out any, onItem func([]byte) error) (bool, error) {
	switch m.Type {
	case frame.Item:
		if onItem == nil {
			return false, nil
		}
		return false, onItem(m.Body)
	case frame.Fail:
		var f failure
		if err := msgpack.Unmarshal(m.Body, &f); err != nil {
			return true, fmt.Errorf("decode failure: %w", err)
		}
		return true, &errkind.Error{Kind: f.Kind, Message: f.Message, RetryAfter: f.RetryAfter}
	default:
		if out == nil {
			return true, nil
		}
		if err := msgpack.Unmarshal(m.Body, out); err != nil {
			return true, fmt.Errorf("decode answer: %w", err)
		}
		return true, nil
	}
}

// Bytes returns the number of bytes sent and received on all open connections.
func (c *Client) Bytes() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	var n int64
	for _, l := range c.links {
		n += l.conn.Bytes.Load()
	}
	for l := range c.old {
		n += l.conn.Bytes.Load()
	}
	return n
}

// Close closes all connections and waits for their readers.
func (c *Client) Close() {
	c.mu.Lock()
	for _, l := range c.links {
		l.conn.Close()
	}
	for l := range c.old {
		l.conn.Close()
	}
	c.mu.Unlock()
	c.group.Wait()
}

// connect returns the connection to an address and dials it if there is none.
func (c *Client) connect(x context.Context, address string) (*link, error) {
	c.mu.Lock()
	l := c.links[address]
	c.mu.Unlock()
	if l != nil {
		return l, nil
	}
	l, err := c.dial(x, address)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if o := c.links[address]; o != nil {
		l.conn.Close()
		return o, nil
	}
	c.links[address] = l
	c.group.Go(func() { c.readLoop(address, l) })
	for o, a := range c.old {
		if a == address {
			c.group.Go(func() { closeIfDead(o, l) })
		}
	}
	return l, nil
}

// retireIfSilent retires a connection that has been silent for maxSilence.
func (c *Client) retireIfSilent(address string, l *link) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.links[address] != l || !l.retireIfSilent() {
		return
	}
	delete(c.links, address)
	c.old[l] = address
}

// retireUnlessLive retires the connection to an address, if there is one, unless it is known to work.
func (c *Client) retireUnlessLive(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	l := c.links[address]
	if l == nil || l.isLive() {
		return
	}
	delete(c.links, address)
	c.old[l] = address
	l.retire()
}

// closeIfDead closes a retired connection if it answers nothing while a newer one to the same peer does.
func closeIfDead(old, newer *link) {
	pong, end := old.ping()
	defer end()
	for range minSilentRounds {
		t := time.NewTimer(maxSilence)
		select {
		case <-pong:
			t.Stop()
			return
		case <-old.done:
			t.Stop()
			return
		case <-t.C:
		}
		if !newer.answersPing() {
			return
		}
	}
	old.conn.Close()
}

func (c *Client) dial(x context.Context, address string) (*link, error) {
	f, err := c.dialFrames(x, address)
	if err == nil {
		err = closeOnError(x, f, func() error { return c.handshake(f) })
	}
	if err != nil {
		return nil, err
	}
	l := &link{conn: f, queued: &c.queued, calls: map[uint64]*inbox{}, done: make(chan struct{}), receivedAt: time.Now()}
	f.OnRead = l.received
	return l, nil
}

func (c *Client) dialFrames(x context.Context, address string) (*frame.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	if c.local != nil {
		d.LocalAddr = c.local
	}
	n, err := d.DialContext(x, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("dial: %w", err)
	}
	return frame.New(n), nil
}

// handshake authenticates both sides.
func (c *Client) handshake(f *frame.Conn) error {
	_ = f.NetConn().SetReadDeadline(time.Now().Add(handshakeTimeout))
	if err := clientHandshake(f, c.secret); err != nil {
		return err
	}
	return f.NetConn().SetReadDeadline(time.Time{})
}

// readLoop delivers each frame to its call until the connection ends.
func (c *Client) readLoop(address string, l *link) {
	defer func() {
		c.mu.Lock()
		if c.links[address] == l {
			delete(c.links, address)
		}
		delete(c.old, l)
		c.mu.Unlock()
		l.conn.Close()
		close(l.done)
	}()
	for {
		m, err := l.conn.ReadWithin(frameTimeout)
		if err != nil {
			return
		}
		l.deliver(m)
	}
}

// inbox queues the frames of one call, so that a slow reader doesn't block the other calls of the
// connection. If the client has no room for a frame, the frame and those after it are dropped, and the
// call fails.
type inbox struct {
	budget  *membudget.Budget
	ready   chan struct{}
	onBytes func(n int) // nil unless the call follows the bytes of the connection

	mu     sync.Mutex
	frames []frame.Message
	cut    bool // no frames are added any more
}

// cost returns the memory that a queued frame takes, in bytes.
func cost(m frame.Message) int64 {
	const overhead = 256 // the message, its place in the queue and its allocations
	return int64(len(m.Method)+len(m.Body)) + overhead
}

func (i *inbox) put(m frame.Message) {
	i.mu.Lock()
	if !i.cut {
		if i.budget.Acquire(cost(m)) {
			i.frames = append(i.frames, m)
		} else {
			i.cut = true
		}
	}
	i.mu.Unlock()
	select {
	case i.ready <- struct{}{}:
	default:
	}
}

// first returns the first queued frame, if any. It stays in the queue while it is handled.
func (i *inbox) first() (frame.Message, bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if len(i.frames) == 0 {
		return frame.Message{}, false
	}
	return i.frames[0], true
}

func (i *inbox) removeFirst() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.budget.Release(cost(i.frames[0]))
	i.frames[0] = frame.Message{}
	i.frames = i.frames[1:]
}

// isCut reports whether frames were dropped and all before them have been handled.
func (i *inbox) isCut() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.cut && len(i.frames) == 0
}

// close drops the queued frames and those that come later.
func (i *inbox) close() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.cut = true
	for _, m := range i.frames {
		i.budget.Release(cost(m))
	}
	i.frames = nil
}

func (i *inbox) isEmpty() bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return len(i.frames) == 0
}

func (l *link) openCall(onBytes func(n int)) (uint64, *inbox) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastID++
	if l.waitingSince.IsZero() {
		l.waitingSince = time.Now()
	}
	b := &inbox{budget: l.queued, ready: make(chan struct{}, 1), onBytes: onBytes}
	l.calls[l.lastID] = b
	return l.lastID, b
}

// closeCall ends a call. The last one closes a retired connection.
func (l *link) closeCall(id uint64) {
	l.mu.Lock()
	b := l.calls[id]
	delete(l.calls, id)
	unused := l.retired && len(l.calls) == 0
	l.mu.Unlock()
	b.close()
	if unused {
		l.conn.Close()
	}
}

// cancelCall tells the remote side to cancel a call.
func (l *link) cancelCall(id uint64) {
	_ = l.conn.Write(frame.Message{ID: id, Type: frame.Cancel}, writeTimeout)
}

// retireIfSilent makes the connection a retired one if calls have been pending for maxSilence
// without a frame from the remote side, and reports whether it did.
func (l *link) retireIfSilent() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	silent := !l.waitingSince.IsZero() && time.Since(l.waitingSince) >= maxSilence
	l.retired = l.retired || silent
	return silent
}

// isLive reports whether bytes were received a short time ago, which is shorter while calls wait for answers.
func (l *link) isLive() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	limit := maxIdle
	if len(l.calls) > 0 {
		limit = maxWait
	}
	return time.Since(l.receivedAt) < limit
}

// retire makes the connection a retired one, and closes it if no calls are pending.
func (l *link) retire() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.retired = true
	if len(l.calls) == 0 {
		l.conn.Close()
	}
}

// ping makes a call of methodPing. The channel receives an item when it is answered; end ends the call.
func (l *link) ping() (pong <-chan struct{}, end func()) {
	id, b := l.openCall(nil)
	if err := l.conn.Write(frame.Message{ID: id, Type: frame.Call, Method: methodPing}, writeTimeout); err != nil {
		l.conn.Close()
	}
	return b.ready, func() { l.closeCall(id) }
}

// answersPing waits for the answer to a ping. It returns false if the connection ends before.
func (l *link) answersPing() bool {
	pong, end := l.ping()
	defer end()
	select {
	case <-pong:
		return true
	case <-l.done:
		return false
	}
}

// deliver passes a frame to its call, or drops it if the call has ended.
func (l *link) deliver(m frame.Message) {
	l.mu.Lock()
	b, ok := l.calls[m.ID]
	l.waitingSince = time.Time{}
	l.mu.Unlock()
	if ok {
		b.put(m)
	}
}
