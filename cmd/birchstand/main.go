// Command birchstand runs one stand-in of the platform for tests and local experiments.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alexflint/go-arg"

	"birchlink.dev/birchlink/cloud"
	"birchlink.dev/birchlink/fleet"
	"birchlink.dev/birchlink/stand/boxlist"
	standcloud "birchlink.dev/birchlink/stand/cloud"
	"birchlink.dev/birchlink/stand/engine"
	"birchlink.dev/birchlink/stand/kvstore"
	"birchlink.dev/birchlink/stand/service"
	"birchlink.dev/birchlink/stand/weights"
)

type kvArguments struct {
	Writes int `default:"300" help:"writes a second"`
	Reads  int `default:"2000" help:"reads a second, a waiting watch counted"`
}

type cloudArguments struct {
	Boxes  string `arg:"required" help:"a JSON file with the boxes"`
	Prices string `arg:"required" help:"a JSON file with the prices"`
}

type boxListArguments struct {
	Cloud string        `arg:"required" help:"the cloud's address"`
	Lag   time.Duration `default:"1s" help:"how far the list lags"`
}

type weightsArguments struct {
	Together int           `default:"4" help:"loads that may run together"`
	Delay    time.Duration `default:"500ms" help:"how long a load takes"`
}

type engineArguments struct {
	Name        string        `arg:"required" help:"the box"`
	Loaded      []string      `arg:"--loaded,separate" help:"a workload loaded from the start"`
	Slots       int           `default:"8" help:"streams that run together"`
	TokenEvery  time.Duration `arg:"--token-every" default:"20ms" help:"time between tokens"`
	PrefillRate int           `arg:"--prefill-rate" default:"4000" help:"prompt tokens a second"`
	Cache       int           `default:"64" help:"prefixes in the cache"`
	LoadLag     time.Duration `arg:"--load-lag" default:"500ms" help:"how far load reports lag"`
	NoFence     bool          `arg:"--no-fence" help:"take orders from anybody"`
	Weights     string        `help:"the weight store's address"`
	AuditFile   string        `arg:"--audit-file" help:"where the audit goes when the box is taken"`
}

type serviceArguments struct {
	Name      string `arg:"required" help:"the service"`
	AuditFile string `arg:"--audit-file" help:"where the audit goes when the box is taken"`
}

type arguments struct {
	Listen  string            `arg:"required" help:"an IP number and a port"`
	KV      *kvArguments      `arg:"subcommand:kv" help:"the key-value service"`
	Cloud   *cloudArguments   `arg:"subcommand:cloud" help:"the cloud API"`
	BoxList *boxListArguments `arg:"subcommand:boxlist" help:"the box list"`
	Weights *weightsArguments `arg:"subcommand:weights" help:"the weight store"`
	Engine  *engineArguments  `arg:"subcommand:engine" help:"a model engine"`
	Service *serviceArguments `arg:"subcommand:service" help:"a plain service"`
}

// Description returns the first lines of the help text.
func (arguments) Description() string { return "birchstand runs one stand-in of the platform." }

func main() {
	var a arguments
	arg.MustParse(&a)
	if err := run(a); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(a arguments) error {
	c, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	h, err := handler(c, a)
	if err != nil {
		return err
	}
	s := &http.Server{Addr: a.Listen, Handler: h, ReadHeaderTimeout: time.Second}
	go func() {
		<-c.Done()
		s.Close()
	}()
	if err := s.ListenAndServe(); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("serve: %w", err)
	}
	return nil
}

// handler returns the stand-in that the subcommand names.
func handler(c context.Context, a arguments) (http.Handler, error) {
	switch {
	case a.KV != nil:
		return kvstore.New(a.KV.Writes, a.KV.Reads), nil
	case a.Cloud != nil:
		return cloudHandler(a.Cloud)
	case a.BoxList != nil:
		s := boxlist.New(a.BoxList.Cloud, a.BoxList.Lag)
		go s.Run(c)
		return s, nil
	case a.Weights != nil:
		return weights.New(a.Weights.Together, a.Weights.Delay), nil
	case a.Engine != nil:
		return engine.New(a.Engine.options(a.Listen)), nil
	case a.Service != nil:
		s := service.New(a.Service.Name)
		s.AuditFile = a.Service.AuditFile
		return s, nil
	default:
		return nil, errors.New("name a stand-in: kv, cloud, boxlist, weights, engine or service")
	}
}

func (e engineArguments) options(listen string) engine.Options {
	return engine.Options{
		Name: e.Name, Address: listen, Loaded: e.Loaded, Slots: e.Slots, TokenInterval: e.TokenEvery,
		PrefillRate: e.PrefillRate, CacheSize: e.Cache, LoadLag: e.LoadLag, ChecksFence: !e.NoFence, Weights: e.Weights, AuditFile: e.AuditFile,
	}
}

func cloudHandler(a *cloudArguments) (http.Handler, error) {
	var bs []fleet.Box
	if err := readJSON(a.Boxes, &bs); err != nil {
		return nil, err
	}
	var ps []cloud.Price
	if err := readJSON(a.Prices, &ps); err != nil {
		return nil, err
	}
	return standcloud.New(bs, ps), nil
}

func readJSON(path string, v any) error {
	b, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("read %s: %w", path, err)
	}
	if err := json.Unmarshal(b, v); err != nil {
		return fmt.Errorf("decode %s: %w", path, err)
	}
	return nil
}
