package soak

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// maxResidentBytes is the memory that a box may need at the size for which it is meant.
const maxResidentBytes = 284e6

// memoryInterval is the time between two readings of a process's peak. A process that is killed is seen up to then.
const memoryInterval = 50 * time.Millisecond

// watchMemory reads the peak resident memory of the boxes' processes until c is done, and checks it.
func (r *run) watchMemory(c context.Context) {
	most := 0
	over := map[string]bool{}
	for c.Err() == nil {
		for _, b := range r.fleet.Boxes {
			n := peakResident(b.pid())
			most = max(most, n)
			if n > maxResidentBytes && !over[b.Name] {
				over[b.Name] = true
				r.reportViolation("%s has %d bytes of memory", b.Name, n)
			}
		}
		select {
		case <-c.Done():
		case <-time.After(memoryInterval):
		}
	}
	fmt.Fprintf(r.Out, "seed %d: a box needs up to %.1f MB\n", r.Seed, float64(most)/1e6)
}

// peakResident returns the most bytes of resident memory that a process has had, or 0 if it has ended.
func peakResident(pid int) int {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	_, after, _ := strings.Cut(string(b), "VmHWM:")
	f := strings.Fields(after)
	if len(f) == 0 {
		return 0
	}
	n, err := strconv.Atoi(f[0])
	if err != nil {
		return 0
	}
	return n << 10
}
