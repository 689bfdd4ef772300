package quarantine_test

import (
	"bufio"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/quarantine"
	"birchlink.dev/birchlink/requesthash"
)

// script runs one file of testdata: the events, messages and expected decisions of several boxes.
type script struct {
	t     *testing.T
	now   time.Time
	boxes map[string]*quarantine.Quarantine

	serial   int
	versions []string // of the serving endpoints
}

func (s *script) serving() []string { return s.versions }

// TestScripts runs the files in testdata.
func TestScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, p := range files {
		t.Run(strings.TrimSuffix(filepath.Base(p), ".txt"), func(t *testing.T) { runScript(t, p) })
	}
}

func runScript(t *testing.T, path string) {
	f, err := os.Open(path)
	require.NoError(t, err)
	defer f.Close()
	s := &script{t: t, now: time.Unix(1000, 0), boxes: map[string]*quarantine.Quarantine{}, versions: []string{""}}
	r := bufio.NewScanner(f)
	for n := 1; r.Scan(); n++ {
		words := strings.Fields(r.Text())
		if len(words) == 0 || strings.HasPrefix(words[0], "#") {
			continue
		}
		s.step(words, path+":"+strconv.Itoa(n))
	}
	require.NoError(t, r.Err())
}

func (s *script) box(name string) *quarantine.Quarantine {
	if s.boxes[name] == nil {
		s.boxes[name] = &quarantine.Quarantine{Log: zerolog.Nop()}
	}
	return s.boxes[name]
}

func hash(name string) requesthash.Hash {
	var h requesthash.Hash
	for _, b := range []byte(name) {
		h = h<<8 | requesthash.Hash(b)
	}
	return h
}

// attempt parses a request, CONTENT[+PART...][@VERSION], sent to an endpoint.
func (s *script) attempt(request, endpoint string) quarantine.Attempt {
	items, version, _ := strings.Cut(request, "@")
	names := strings.Split(items, "+")
	a := quarantine.Attempt{Endpoint: endpoint, Version: version}
	a.Content = hash(names[0])
	for _, n := range names[1:] {
		a.Parts = append(a.Parts, hash(n))
	}
	return a
}

func (s *script) step(words []string, at string) {
	if words[0] == "after" {
		d, err := time.ParseDuration(words[1])
		require.NoError(s.t, err, at)
		s.now = s.now.Add(d)
		return
	}
	if words[0] == "versions" { // of the serving endpoints
		s.versions = words[1:]
		return
	}
	b, args := s.box(words[0]), words[2:]
	switch words[1] {
	case "broke": // endpoint, contents
		for _, c := range args[1:] {
			b.RecordFailure(s.attempt(c, args[0]), s.now.Add(-time.Millisecond), s.now)
		}
	case "ended": // endpoint
		b.RecordCrash(args[0], "script", s.now)
	case "lost": // endpoint, contents that were in flight there
		s.step(append([]string{words[0], "broke"}, args...), at)
		b.RecordCrash(args[0], "script", s.now)
	case "tries": // contents: sends each, as a trial if it is refused
		for _, c := range args {
			s.serial++
			b.Admit(s.attempt(c, "tried"+strconv.Itoa(s.serial)), s.serving, s.now)
		}
	case "elsewhere": // another box sends the trials
		b.SendsTrials = func(requesthash.Hash) bool { return false }
	case "answered": // content
		a := s.attempt(args[0], "")
		b.RecordAnswer(a.Request, a.Version, s.now, s.now)
	case "tells": // box: what a member sends to its relay
		s.box(args[0]).Merge(b.Local(s.now), s.now)
	case "passes": // box: what one relay sends to another
		s.box(args[0]).Merge(b.Recent(s.now), s.now)
	case "names": // box: what a relay sends to a member
		s.box(args[0]).Merge(b.Verdicts(s.now), s.now)
	case "refuses", "sends": // contents
		for _, c := range args {
			a := s.attempt(c, "")
			refused := b.Judge(a.Request, s.serving, s.now).Refused
			require.Equal(s.t, words[1] == "refuses", refused, "%s: %s", at, c)
		}
	default:
		s.t.Fatalf("%s: no step %q", at, words[1])
	}
}
