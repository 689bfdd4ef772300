package daemon_test

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/rogpeppe/go-internal/txtar"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"birchlink.dev/birchlink/cloud"
	"birchlink.dev/birchlink/daemon"
	"birchlink.dev/birchlink/decisions"
	"birchlink.dev/birchlink/errkind"
	"birchlink.dev/birchlink/fleet"
	"birchlink.dev/birchlink/front"
	"birchlink.dev/birchlink/jsonhttp"
	"birchlink.dev/birchlink/operator"
	"birchlink.dev/birchlink/settings"
	"birchlink.dev/birchlink/stand/answer"
	"birchlink.dev/birchlink/stand/boxlist"
	standcloud "birchlink.dev/birchlink/stand/cloud"
	standengine "birchlink.dev/birchlink/stand/engine"
	"birchlink.dev/birchlink/stand/kvstore"
	"birchlink.dev/birchlink/stand/service"
)

var update = flag.Bool("update", false, "write the golden files anew")

const operatorKey = "operators-of-the-test"

// box is a daemon in the test process, whose cloud, stores and endpoints are stand-ins in the same
// process.
type box struct {
	daemon *daemon.Daemon
	config string
}

// serve serves h until the test ends, and returns the address.
func serve(t testing.TB, h http.Handler) string {
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

// start starts a box with an engine, a plain service with the given name and further endpoints. It
// applies an example configuration and waits until the engine has loaded all workloads.
func start(t testing.TB, example, name string, endpoints ...fleet.Box) *box {
	text, err := os.ReadFile(filepath.Join("..", "examples", example))
	require.NoError(t, err)
	e := standengine.New(standengine.Options{Name: "engine-1", Slots: 8, TokenInterval: time.Millisecond, PrefillRate: 1e6, CacheSize: 8, ChecksFence: true})
	bs := append([]fleet.Box{
		{Name: "engine-1", DataCentre: "hall", Address: serve(t, e), Role: fleet.EngineRole, Class: "new", State: fleet.Live},
		{Name: "service-1", DataCentre: "hall", Address: serve(t, service.New(name)), Role: fleet.ServiceRole, Service: name, State: fleet.Live},
	}, endpoints...)
	c := serve(t, standcloud.New(bs, []cloud.Price{{DataCentre: "hall", Class: "new", PerHour: 3}}))
	list := boxlist.New(c, 0)
	x, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	go list.Run(x)
	d, err := daemon.New(settings.Settings{
		Box: "entry-1", DataCentre: "hall", Callers: "127.0.0.1:0", Peers: "127.0.0.1:0", Advertise: "127.0.0.1:0", Admin: "127.0.0.1:0",
		KV: serve(t, kvstore.New(1000, 1000)), BoxList: serve(t, list), Cloud: c, Secret: "peers-of-the-test-0123", OperatorKey: operatorKey,
		MaxBody: 4096, MaxRequests: 100, MaxHeldAnswers: 100, StopLimit: 5 * time.Second, ClaimSlots: 4, ClaimTTL: time.Hour,
		WriteRate: 100, ReadRate: 100, Policy: "affinity", LogLevel: "error",
	}, io.Discard)
	require.NoError(t, err)
	require.NoError(t, d.App.Start(t.Context()))
	t.Cleanup(func() {
		require.NoError(t, d.App.Stop(context.Background()))
		http.DefaultClient.CloseIdleConnections()
	})
	b := &box{daemon: d, config: string(text)}
	b.callOperator(t, http.MethodPut, "/operator/config", operator.Edit{Text: b.config, Editor: "test"}, nil)
	b.awaitLoaded(t)
	return b
}

// operatorTransport authenticates requests as the operator.
type operatorTransport struct{}

func (operatorTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.Header.Set("Authorization", "Bearer "+operatorKey)
	return http.DefaultTransport.RoundTrip(r)
}

func (b *box) callOperator(t testing.TB, method, path string, in, out any) {
	h := jsonhttp.New(b.daemon.Operator.Addr(), "test", 10*time.Second)
	h.HTTP.Transport = operatorTransport{}
	require.NoError(t, h.Do(t.Context(), method, path, in, out))
}

// awaitLoaded waits until the placer has loaded every workload.
func (b *box) awaitLoaded(t testing.TB) {
	require.Eventually(t, func() bool {
		var s operator.Status
		b.callOperator(t, http.MethodGet, "/operator/status", nil, &s)
		n := 0
		for _, e := range s.Endpoints {
			if e.Role == fleet.EngineRole {
				n += len(e.Loaded)
			}
		}
		return n == strings.Count(b.config, "[model")*2
	}, time.Minute, 20*time.Millisecond)
}

// No goroutine is left after the daemon has stopped.
func TestStopLeavesNoGoroutines(t *testing.T) {
	ignore := goleak.IgnoreCurrent()
	t.Run("box", func(t *testing.T) {
		b := start(t, "pamoja.ini", "matokeo-api")
		a, err := http.Get("http://" + b.daemon.Front.Addr() + "/ready")
		require.NoError(t, err)
		require.NoError(t, a.Body.Close())
		require.Equal(t, http.StatusOK, a.StatusCode)
	})
	http.DefaultTransport.(*http.Transport).CloseIdleConnections()
	goleak.VerifyNone(t, ignore)
}

// The official OpenAI client works against the daemon: it gets a complete and a streamed answer, the
// list of models and an error.
func TestOpenAIClient(t *testing.T) {
	b := start(t, "pamoja.ini", "matokeo-api")
	c := openai.NewClient(option.WithBaseURL("http://"+b.daemon.Front.Addr()+"/v1"), option.WithAPIKey("pamoja-key-msasani"))
	p := openai.ChatCompletionNewParams{
		Model: "maandishi-llm", MaxTokens: openai.Int(20), Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("hello")},
	}
	want := answer.Text("maandishi-llm@1", "user: hello\n", 20)
	a, err := c.Chat.Completions.New(t.Context(), p)
	require.NoError(t, err)
	require.Equal(t, want, a.Choices[0].Message.Content)
	require.EqualValues(t, 20, a.Usage.CompletionTokens)
	s := c.Chat.Completions.NewStreaming(t.Context(), p)
	got := ""
	for s.Next() {
		got += s.Current().Choices[0].Delta.Content
	}
	require.NoError(t, s.Err())
	require.Equal(t, want, got)
	ms, err := c.Models.List(t.Context())
	require.NoError(t, err)
	require.Len(t, ms.Data, 2)
	p.Model = "nothing"
	_, err = c.Chat.Completions.New(t.Context(), p)
	var e *openai.Error
	require.ErrorAs(t, err, &e)
	require.Equal(t, "unknown_model", e.Code)
}

// Requests to the box of each deployment lead to the decisions and answers in testdata.
func TestSessions(t *testing.T) {
	for example, name := range map[string]string{"pamoja": "matokeo-api", "freight": "yard-api"} {
		t.Run(example, func(t *testing.T) {
			b := start(t, example+".ini", name)
			f := filepath.Join("testdata", example+".txtar")
			golden, err := txtar.ParseFile(f)
			require.NoError(t, err)
			got := &txtar.Archive{Comment: golden.Comment}
			for _, r := range golden.Files {
				if n, ok := strings.CutSuffix(r.Name, ".request"); ok {
					recorded, response := b.runSession(t, string(r.Data))
					got.Files = append(got.Files, r, txtar.File{Name: n + ".decisions", Data: recorded}, txtar.File{Name: n + ".answer", Data: response})
				}
			}
			if *update {
				require.NoError(t, os.WriteFile(f, txtar.Format(got), 0o600))
			}
			require.Equal(t, string(txtar.Format(golden)), string(txtar.Format(got)))
		})
	}
}

// runSession sends a request, given as HTTP text, and returns the recorded decisions and the answer.
// Values that differ between runs are removed or replaced.
func (b *box) runSession(t testing.TB, request string) (recorded, response []byte) {
	head, body, _ := strings.Cut(request, "\n\n")
	raw := fmt.Sprintf("%s\r\nHost: x\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s", strings.ReplaceAll(head, "\n", "\r\n"), len(body), body)
	c, err := net.Dial("tcp", b.daemon.Front.Addr())
	require.NoError(t, err)
	defer c.Close()
	_, err = io.WriteString(c, raw)
	require.NoError(t, err)
	a, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	defer a.Body.Close()
	text, err := io.ReadAll(a.Body)
	require.NoError(t, err)
	id := a.Header.Get(front.RequestIDHeader)
	var out bytes.Buffer
	fmt.Fprintln(&out, a.Status)
	for _, h := range []string{"Content-Type", front.RunHeader, "Retry-After"} {
		if v := a.Header.Get(h); v != "" {
			fmt.Fprintf(&out, "%s: %s\n", h, v)
		}
	}
	created := regexp.MustCompile(`"created":\d+`)
	text = created.ReplaceAll(bytes.ReplaceAll(text, []byte(id), []byte("ID")), []byte(`"created":0`))
	fmt.Fprintf(&out, "\n%s", text)
	if !bytes.HasSuffix(out.Bytes(), []byte("\n")) {
		out.WriteByte('\n')
	}
	return b.explain(t, id), out.Bytes()
}

func (b *box) explain(t testing.TB, id string) []byte {
	var ds []decisions.Decision
	b.callOperator(t, http.MethodGet, "/operator/explain/"+id, nil, &ds)
	var out bytes.Buffer
	for _, d := range ds {
		f, err := json.Marshal(d.Figures)
		require.NoError(t, err)
		fmt.Fprintf(&out, "%s attempt=%d workload=%s choice=%s reason=%q figures=%s\n", d.Event, d.Attempt, d.Workload, d.Choice, d.Reason, f)
	}
	return out.Bytes()
}

// callService calls a plain service by its path x, and returns the status and head of the answer.
func (b *box) callService(t testing.TB, name string) (int, http.Header) {
	q, err := http.NewRequest(http.MethodGet, "http://"+b.daemon.Front.Addr()+"/services/"+name+"/x", http.NoBody)
	require.NoError(t, err)
	q.Header.Set("Authorization", "Bearer pamoja-key-msasani")
	a, err := http.DefaultClient.Do(q)
	require.NoError(t, err)
	require.NoError(t, a.Body.Close())
	return a.StatusCode, a.Header
}

// A request that crashes every endpoint that runs it is refused after three crashes. If each call
// were judged by its own attempts alone, every retry by the caller would crash more endpoints.
func TestRefusesRequestThatCrashesEndpoints(t *testing.T) {
	var crashes atomic.Int64
	endpoints := make([]fleet.Box, 8)
	for i := range endpoints {
		var h *httptest.Server
		h = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path != "/x" {
				http.NotFound(w, r) // a load request of the box
				return
			}
			crashes.Add(1) // before the box learns of it and answers
			if err := h.Config.Close(); err != nil {
				t.Error(err)
			}
		}))
		t.Cleanup(h.Close)
		endpoints[i] = fleet.Box{
			Name: fmt.Sprint("ending-", i), DataCentre: "hall", Address: h.Listener.Addr().String(), Role: fleet.ServiceRole,
			Service: "matokeo-api", State: fleet.Live,
		}
	}
	b := start(t, "pamoja.ini", "another-api", endpoints...)
	for range 3 {
		b.callService(t, "matokeo-api")
	}
	require.EqualValues(t, 3, crashes.Load())
}

// A box sends nothing to a plain service that refused a call and asked for a pause. If the box only
// passed the Retry-After header on to the caller, the refusing endpoint would get all further calls
// as the least loaded one. While all endpoints back off, calls are refused immediately with the
// remaining time.
func TestPlainServicesBackOff(t *testing.T) {
	calls := make([]atomic.Int64, 2)
	refusing := make([]atomic.Bool, 2)
	endpoints := make([]fleet.Box, 2)
	for i := range endpoints {
		a := serve(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path != "/x" {
				http.NotFound(w, r)
				return
			}
			calls[i].Add(1)
			if refusing[i].Load() {
				w.Header().Set("Retry-After", "3600")
				w.WriteHeader(http.StatusServiceUnavailable)
			}
		}))
		endpoints[i] = fleet.Box{
			Name: fmt.Sprint("resting-", i), DataCentre: "hall", Address: a, Role: fleet.ServiceRole,
			Service: "matokeo-api", State: fleet.Live,
		}
	}
	b := start(t, "pamoja.ini", "another-api", endpoints...)
	call := func() (int, http.Header) { return b.callService(t, "matokeo-api") }
	refusing[0].Store(true)
	refused := 0
	for range 20 {
		if status, _ := call(); status != http.StatusOK {
			refused++
		}
	}
	require.LessOrEqual(t, refused, 1)
	require.LessOrEqual(t, calls[0].Load(), int64(1))
	for i := range refusing {
		refusing[i].Store(true)
	}
	for range 10 {
		status, _ := call()
		require.Equal(t, http.StatusServiceUnavailable, status)
	}
	require.Equal(t, int64(1), calls[0].Load())
	_, h := call()
	require.Equal(t, string(errkind.NotRun), h.Get(front.RunHeader))
	s, err := strconv.Atoi(h.Get("Retry-After"))
	require.NoError(t, err)
	require.InDelta(t, 3600, s, 900)
}
