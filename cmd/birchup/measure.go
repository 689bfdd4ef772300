package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"birchlink.dev/birchlink/jsonhttp"
	"birchlink.dev/birchlink/stand/lab"
	"birchlink.dev/birchlink/wait"
)

// settleTime is the time before the measurement in which boxes join, engines load their first workloads
// and the first state is exchanged.
const settleTime = 15 * time.Second

// ticksPerSecond is the number of clock ticks per second in /proc/PID/stat (USER_HZ).
const ticksPerSecond = 100

// measuredOptions returns o reduced to one data centre with the numbers of boxes and engines given
// in a.
func measuredOptions(o lab.Options, a arguments) lab.Options {
	o.DataCentres, o.Entries = o.DataCentres[:1], a.Entries
	kinds := o.Engines
	o.Engines = nil
	for i := range a.Engines {
		k := kinds[i%3]
		o.Engines = append(o.Engines, k)
	}
	return o
}

// usage is the cumulative resource usage of a process; rss is its current resident memory.
type usage struct {
	cpu   time.Duration
	rss   int64
	bytes int64
	calls map[string]int64
}

// measure prints the resources that an idle entry box uses over d: means over all entry boxes and, for
// processor time, also the maximum.
func measure(c context.Context, l *lab.Lab, d time.Duration) error {
	wait.For(c, settleTime)
	ps := l.Processes("entry")
	before := make([]usage, len(ps))
	for i, p := range ps {
		u, err := readUsage(c, p)
		if err != nil {
			return err
		}
		before[i] = u
	}
	wait.For(c, d)
	var cpu, maxCPU, rss, bytes, kv float64
	for i, p := range ps {
		u, err := readUsage(c, p)
		if err != nil {
			return err
		}
		s := (u.cpu - before[i].cpu).Seconds() / d.Seconds()
		cpu, maxCPU = cpu+s, max(maxCPU, s)
		rss += float64(u.rss)
		bytes += float64(u.bytes-before[i].bytes) / d.Seconds()
		for n, v := range u.calls {
			kv += float64(v-before[i].calls[n]) / d.Seconds()
		}
	}
	n := float64(len(ps))
	fmt.Printf("entry boxes %d, engines %d: processor %.2f%% of a core (most %.2f%%), resident %.1f MB, peers %.0f B/s, key-value calls %.2f/s a box\n",
		len(ps), len(l.Processes("engine")), 100*cpu/n, 100*maxCPU, rss/n/(1<<20), bytes/n, kv/n)
	return nil
}

// readUsage reads processor time and memory from /proc, and traffic and calls from the process's
// metrics.
func readUsage(c context.Context, p *lab.Process) (usage, error) {
	u := usage{calls: map[string]int64{}}
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.PID()))
	if err != nil {
		return u, fmt.Errorf("read usage: %w", err)
	}
	const user, system, resident = 11, 12, 21 // indexes of the fields after the command name
	f := strings.Fields(string(b[strings.LastIndexByte(string(b), ')')+2:]))
	for _, i := range []int{user, system} {
		n, err := strconv.ParseInt(f[i], 10, 64)
		if err != nil {
			return u, fmt.Errorf("read usage: %w", err)
		}
		u.cpu += time.Duration(n) * time.Second / ticksPerSecond
	}
	pages, err := strconv.ParseInt(f[resident], 10, 64)
	if err != nil {
		return u, fmt.Errorf("read usage: %w", err)
	}
	u.rss = pages * int64(os.Getpagesize())
	var m map[string]map[string]float64
	if err := jsonhttp.New(p.Admin, "birchup", time.Second).Do(c, http.MethodGet, "/metrics", nil, &m); err != nil {
		return u, err
	}
	u.bytes = int64(m["peers.bytes"]["value"])
	for n, v := range m {
		if strings.HasPrefix(n, "kv.") {
			u.calls[n] = int64(v["count"])
		}
	}
	return u, nil
}
