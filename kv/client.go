package kv

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/rcrowley/go-metrics"
	"golang.org/x/time/rate"

	"birchlink.dev/birchlink/jsonhttp"
)

// callTimeout bounds one call. The wait of a watch is added to it.
const callTimeout = 2 * time.Second

// maxBackOff bounds the pause between calls during an outage, and so the time until the client
// notices the end of the outage.
const maxBackOff = 5 * time.Second

// Errors of calls. After ErrOutcomeUnknown a swap may have taken effect, or may still do so. After the others it has not.
var (
	ErrConflict       = errors.New("the value has changed")
	ErrOutcomeUnknown = errors.New("no definite answer: a change may have taken effect")
	ErrUnavailable    = errors.New("the key-value service is away")
)

// Client calls the key-value service within rate limits for reads and writes. After a failure it
// backs off exponentially with jitter; calls in that period fail at once with ErrUnavailable.
type Client struct {
	http     *jsonhttp.Client
	writes   *rate.Limiter
	reads    *rate.Limiter
	registry metrics.Registry

	mu      sync.Mutex
	backoff *backoff.ExponentialBackOff
	retryAt time.Time
}

// New returns a client that makes at most the given numbers of writes and reads per second, with
// bursts of twice as many. It counts its calls in m, by operation.
func New(address, caller string, writes, reads int, m metrics.Registry) *Client {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval, b.MaxInterval = 100*time.Millisecond, maxBackOff
	c := jsonhttp.New(address, caller, 0)
	return &Client{
		http: c, registry: m, backoff: b,
		writes: rate.NewLimiter(rate.Limit(writes), 2*writes), reads: rate.NewLimiter(rate.Limit(reads), 2*reads),
	}
}

// Get returns the entry of a key.
func (c *Client) Get(x context.Context, key string) (Entry, error) {
	var e Entry
	err := c.do(x, "get", c.reads, http.MethodGet, "/kv/"+key, nil, &e, callTimeout)
	return e, err
}

// List returns the entries whose keys begin with a prefix.
func (c *Client) List(x context.Context, prefix string) ([]Entry, error) {
	var es []Entry
	err := c.do(x, "list", c.reads, http.MethodGet, "/list/"+prefix, nil, &es, callTimeout)
	return es, err
}

// Watch waits until the revision of a key differs from after, for at most wait, and returns the
// key's entry.
func (c *Client) Watch(x context.Context, key string, after uint64, wait time.Duration) (Entry, error) {
	var e Entry
	p := fmt.Sprintf("/watch/%s?%s", key, url.Values{"after": {fmt.Sprint(after)}, "wait": {wait.String()}}.Encode())
	err := c.do(x, "watch", c.reads, http.MethodGet, p, nil, &e, wait+callTimeout)
	return e, err
}

// Swap writes e.Value if the revision of the key is still e.Rev, and returns the new entry. With
// ErrConflict it returns the current entry instead.
func (c *Client) Swap(x context.Context, e Entry) (Entry, error) {
	if len(e.Value) > MaxValue {
		return Entry{}, fmt.Errorf("value of %d bytes is over %d", len(e.Value), MaxValue)
	}
	var n Entry
	err := c.do(x, "swap", c.writes, http.MethodPut, "/kv/"+e.Key, e, &n, callTimeout)
	var s *jsonhttp.StatusError
	if errors.As(err, &s) && s.Status == http.StatusConflict {
		if err := json.Unmarshal([]byte(s.Body), &n); err != nil {
			return n, fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
		}
		return n, ErrConflict
	}
	return n, err
}

func (c *Client) do(x context.Context, name string, l *rate.Limiter, method, path string, in, out any, timeout time.Duration) error {
	if c.isBackingOff() {
		return ErrUnavailable
	}
	if err := l.Wait(x); err != nil {
		return fmt.Errorf("%w: the box's own budget is spent", ErrUnavailable)
	}
	metrics.GetOrRegisterCounter("kv."+name, c.registry).Inc(1)
	x, cancel := context.WithTimeout(x, timeout)
	defer cancel()
	err := c.http.Do(x, method, path, in, out)
	var s *jsonhttp.StatusError
	isStatus, reads := errors.As(err, &s), method == http.MethodGet
	switch {
	case err == nil, isStatus && s.Status == http.StatusConflict && !reads:
		c.recordResult(true)
		return err
	case isStatus && (reads || isRefusal(s.Status)):
		c.recordResult(false)
		return fmt.Errorf("%w: %w", ErrUnavailable, err)
	case errors.Is(err, context.Canceled):
		return fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	default:
		c.recordResult(false)
		return fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
}

// isRefusal reports whether a status states that the service has changed nothing.
func isRefusal(status int) bool {
	return status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable
}

func (c *Client) isBackingOff() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Now().Before(c.retryAt)
}

// recordResult ends the back-off after a success and lengthens it after a failure.
func (c *Client) recordResult(ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if ok {
		c.backoff.Reset()
		c.retryAt = time.Time{}
		return
	}
	c.retryAt = time.Now().Add(c.backoff.NextBackOff())
}
