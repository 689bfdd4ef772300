// Command birchctl is the operators' client. It checks, puts and shows the configuration, prints a
// box's status and explains decisions.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/alexflint/go-arg"

	"birchlink.dev/birchlink/configsync"
	"birchlink.dev/birchlink/decisions"
	"birchlink.dev/birchlink/httpstatus"
	"birchlink.dev/birchlink/iniread"
	"birchlink.dev/birchlink/jsonhttp"
	"birchlink.dev/birchlink/operator"
)

type fileArguments struct {
	File string `arg:"positional,required" help:"the configuration, in INI"`
}

type putArguments struct {
	File   string `arg:"positional,required" help:"the configuration, in INI"`
	Base   uint64 `arg:"required" help:"the version that was edited, as show tells it"`
	Editor string `arg:"env:USER" default:"operator" help:"who edits"`
}

type explainArguments struct {
	Subject string `arg:"positional,required" help:"a request id, or placement"`
}

type arguments struct {
	Address string            `arg:"--address,env:BIRCHLINK_ADDRESS,required" help:"an entry box's admin address"`
	Key     string            `arg:"--key,env:BIRCHLINK_OPERATOR_KEY,required" help:"the operators' key"`
	Check   *fileArguments    `arg:"subcommand:check" help:"report every mistake in a configuration"`
	Put     *putArguments     `arg:"subcommand:put" help:"put a configuration in force"`
	Show    *struct{}         `arg:"subcommand:show" help:"print the configuration in force"`
	Status  *struct{}         `arg:"subcommand:status" help:"print what the box knows"`
	Explain *explainArguments `arg:"subcommand:explain" help:"print why a request or a placement went as it did"`
}

// Description returns the first lines of the help text.
func (arguments) Description() string {
	return "birchctl checks, puts and shows configuration, and tells what the boxes know and decided."
}

func main() {
	var a arguments
	arg.MustParse(&a)
	if err := run(a); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// bearerTransport is an http.RoundTripper that sends itself as the bearer token of each request.
type bearerTransport string

// RoundTrip sends a copy of r with the Authorization header set.
func (b bearerTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.Header.Set("Authorization", "Bearer "+string(b))
	return http.DefaultTransport.RoundTrip(r)
}

func run(a arguments) error {
	const limit = 15 * time.Second
	h := &jsonhttp.Client{Base: "http://" + a.Address, Caller: "birchctl", HTTP: httpstatus.NewClient(bearerTransport(a.Key), limit)}
	c, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	switch {
	case a.Check != nil:
		return check(c, h, a.Check.File)
	case a.Put != nil:
		return put(c, h, *a.Put)
	case a.Show != nil:
		return show(c, h)
	case a.Status != nil:
		return status(c, h)
	case a.Explain != nil:
		return explain(c, h, a.Explain.Subject)
	default:
		return errors.New("name what to do: check, put, show, status or explain")
	}
}

// refusalError returns err, or the kind, message and mistakes of the refusal in it.
func refusalError(err error) error {
	var s *jsonhttp.StatusError
	var r operator.Refusal
	if !errors.As(err, &s) || json.Unmarshal([]byte(s.Body), &r) != nil {
		return err
	}
	return errors.New(r.Kind + ": " + r.Message + formatMistakes(r.Mistakes))
}

func formatMistakes(ms []iniread.Mistake) string {
	var b strings.Builder
	for _, m := range ms {
		b.WriteString("\n  " + m.String())
	}
	return b.String()
}

func check(c context.Context, h *jsonhttp.Client, file string) error {
	b, err := os.ReadFile(file)
	if err != nil {
		return fmt.Errorf("read configuration: %w", err)
	}
	if err := h.Do(c, http.MethodPost, "/operator/check", operator.Edit{Text: string(b)}, nil); err != nil {
		return refusalError(err)
	}
	fmt.Println("the configuration is in order")
	return nil
}

func put(c context.Context, h *jsonhttp.Client, p putArguments) error {
	b, err := os.ReadFile(p.File)
	if err != nil {
		return fmt.Errorf("read configuration: %w", err)
	}
	var r configsync.Revision
	if err := h.Do(c, http.MethodPut, "/operator/config", operator.Edit{Base: p.Base, Text: string(b), Editor: p.Editor}, &r); err != nil {
		return refusalError(err)
	}
	fmt.Printf("version %d is accepted\n", r.Version)
	return nil
}

func show(c context.Context, h *jsonhttp.Client) error {
	var r configsync.Revision
	if err := h.Do(c, http.MethodGet, "/operator/config", nil, &r); err != nil {
		return refusalError(err)
	}
	fmt.Printf("; version %d by %s at %s\n%s", r.Version, r.Editor, r.At.Format(time.RFC3339), r.Text)
	return nil
}

func status(c context.Context, h *jsonhttp.Client) error {
	var s operator.Status
	if err := h.Do(c, http.MethodGet, "/operator/status", nil, &s); err != nil {
		return refusalError(err)
	}
	fmt.Printf("box %s in %s, version %d, ready: %s, %d streams, notices known as of %v ago\n",
		s.Box, s.DataCentre, s.Version, s.Ready, s.Streams, s.HorizonAge.Round(time.Millisecond))
	fmt.Printf("placement duty: fence %d, process %s\n\n", s.DutyFence, s.DutyHolder)
	t := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "ENTRY BOX\tDATA CENTRE\tADDRESS\tPROCESS")
	for _, m := range s.Members {
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\n", m.Box, m.DataCentre, m.Address, m.Incarnation)
	}
	fmt.Fprintln(t, "\nENDPOINT\tDATA CENTRE\tSTATE\tCLASS\tSUPPLY\tBUSY\tCHECKS FENCE\tLOADED")
	for _, e := range s.Endpoints {
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%d/%d\t%v\t%s\n", e.Name, e.DataCentre, e.State, e.Class, e.Label("supply"),
			e.Running+e.Waiting, e.Slots, e.ChecksFence, strings.Join(e.Loaded, " "))
	}
	for _, u := range s.Plan.Unmet {
		fmt.Fprintf(t, "\nunmet: %s\t%s\t%s\n", u.Workload, u.Selector, u.Reason)
	}
	return t.Flush()
}

func explain(c context.Context, h *jsonhttp.Client, subject string) error {
	var ds []decisions.Decision
	if err := h.Do(c, http.MethodGet, "/operator/explain/"+subject, nil, &ds); err != nil {
		return refusalError(err)
	}
	if len(ds) == 0 {
		return fmt.Errorf("no box that can be reached remembers %s", subject)
	}
	for _, d := range ds {
		fmt.Printf("%s %s %s", d.At.Format("15:04:05.000"), d.Box, d.Event)
		if d.Attempt > 0 {
			fmt.Printf(" attempt %d", d.Attempt)
		}
		fmt.Printf(" → %s: %s\n", d.Choice, d.Reason)
		for _, f := range d.Figures {
			fmt.Printf("    %s busy %.2f %s\n", f.Box, f.Score, f.Reason)
		}
	}
	return nil
}
