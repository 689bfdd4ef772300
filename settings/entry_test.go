package settings_test

import (
	"os"
	"regexp"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/settings"
)

// values are what the platform may fill the template's gaps with; others get a
// number.
var values = map[string]string{
	"node": "front-a-1", "zone": "a", "ip": "10.0.0.1", "cloud.duties": "usage,scale", "seeds": "10.0.0.1:4,10.0.0.2:4",
	"listen.front": "10.0.0.1:1", "listen.ready": "10.0.0.1:2", "listen.control": "10.0.0.1:4",
	"provider.address": "10.0.0.9:5", "cloud.address": "10.0.0.9:6", "bounds.retry_ratio": "0.2", "bounds.quota_overage": "0.1",
	"bounds.lease_ms": "3000", "bounds.canary_share": "0.1",
}

// filled returns the template as the platform fills it.
func filled(t *testing.T) string {
	t.Helper()
	b, err := os.ReadFile("../deploy/box.ini")
	require.NoError(t, err)
	text := regexp.MustCompile(`\{\{[#/][^}]+\}\}`).ReplaceAllString(string(b), "")
	return regexp.MustCompile(`\{\{([^}]+)\}\}`).ReplaceAllStringFunc(text, func(s string) string {
		if v, ok := values[s[2:len(s)-2]]; ok {
			return v
		}
		return "8"
	})
}

// The template that the platform fills is read without a mistake.
func TestTemplate(t *testing.T) {
	s, err := settings.ParseEntry([]byte(filled(t)))
	require.NoError(t, err)
	require.Equal(t, "front-a-1", s.Box)
	require.True(t, s.Orders && s.Usage)
	require.Equal(t, 3*time.Second, s.Lease)
	require.Equal(t, []string{"10.0.0.1:4", "10.0.0.2:4"}, s.Seeds)
	require.Equal(t, 8*time.Second, s.QuotaWindow)
	require.True(t, s.First)
	require.InDelta(t, 8, s.LinkMbps, 0)
	require.InDelta(t, 0.1, s.RolloutShare, 0)
}

// No box of a fleet started whose retries were allowed a slack of 33.16: each ended with
//
//	[retries] slack = "33.1578947368421": allowed: a whole number from 0 to 100000
//
// Every figure that the platform fills in may be a fraction.
func TestTemplateWithFractions(t *testing.T) {
	text := regexp.MustCompile(`= 8(s|ms)?\b`).ReplaceAllString(filled(t), "= 8.25$1")
	require.Contains(t, text, "slack = 8.25")
	s, err := settings.ParseEntry([]byte(text))
	require.NoError(t, err)
	require.InDelta(t, 8.25, s.RetrySlack, 0)
	require.InDelta(t, 8.25, s.QuotaSlack, 0)
	require.Equal(t, 8250*time.Millisecond, s.StopLimit)
}

// A deployment that gives none of its optional values is served with the defaults.
func TestTemplateWithoutOptional(t *testing.T) {
	b, err := os.ReadFile("../deploy/box.ini")
	require.NoError(t, err)
	text := regexp.MustCompile(`(?m)^\{\{#.*$`).ReplaceAllString(string(b), "")
	text = regexp.MustCompile(`\{\{(seeds|cloud.duties)\}\}`).ReplaceAllString(text, "")
	text = regexp.MustCompile(`\{\{([^}]+)\}\}`).ReplaceAllStringFunc(text, func(s string) string { return values[s[2:len(s)-2]] })
	s, err := settings.ParseEntry([]byte(text))
	require.NoError(t, err)
	require.Equal(t, 8*time.Second, s.StopLimit)
	require.False(t, s.Orders || s.Usage || s.First)
}

// Every mistake is named at once, with its section and key.
func TestEntryMistakes(t *testing.T) {
	_, err := settings.ParseEntry([]byte("[box]\nname = x\n[listen]\ncallers = here\n[duties]\nlease = soon\n[quota]\nslack = -1\n[nowhere]\nx = 1\n"))
	for _, m := range []string{"data_centre", `callers = "here"`, `lease = "soon"`, `slack = "-1"`, "[nowhere]", "[store] address"} {
		require.ErrorContains(t, err, m)
	}
}

// Without duties no cloud is needed.
func TestWithoutDuties(t *testing.T) {
	text := regexp.MustCompile(`(?m)^(address = 10.0.0.9:6|duties = .*)$`).ReplaceAllString(filled(t), "")
	s, err := settings.ParseEntry([]byte(text))
	require.NoError(t, err)
	require.False(t, s.Orders || s.Usage)
}

func TestEntryUnreadable(t *testing.T) {
	_, err := settings.LoadEntry("testdata/no-such-file.ini")
	require.ErrorContains(t, err, "no-such-file.ini")
}
