package settings_test

import (
	"os"
	"regexp"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/settings"
)

// templateValues holds values for the template's placeholders. All others are filled with a number.
var templateValues = map[string]string{
	"node": "front-a-1", "zone": "a", "ip": "10.0.0.1", "cloud.duties": "usage,scale", "seeds": "10.0.0.1:4,10.0.0.2:4",
	"listen.front": "10.0.0.1:1", "listen.ready": "10.0.0.1:2", "listen.control": "10.0.0.1:4",
	"provider.address": "10.0.0.9:5", "cloud.address": "10.0.0.9:6", "bounds.retry_ratio": "0.2", "bounds.quota_overage": "0.1",
	"bounds.lease_ms": "3000", "bounds.canary_share": "0.1",
}

// fillTemplate returns the template with its placeholders filled in as by the platform.
func fillTemplate(t *testing.T) string {
	t.Helper()
	b, err := os.ReadFile("../deploy/box.ini")
	require.NoError(t, err)
	text := regexp.MustCompile(`\{\{[#/][^}]+\}\}`).ReplaceAllString(string(b), "")
	return regexp.MustCompile(`\{\{([^}]+)\}\}`).ReplaceAllStringFunc(text, func(s string) string {
		if v, ok := templateValues[s[2:len(s)-2]]; ok {
			return v
		}
		return "8"
	})
}

// The settings file that the platform makes from the template is valid.
func TestTemplate(t *testing.T) {
	s, err := settings.ParsePlatform([]byte(fillTemplate(t)))
	require.NoError(t, err)
	require.Equal(t, "front-a-1", s.Box)
	require.True(t, s.Autoscale && s.ReportUsage)
	require.Equal(t, 3*time.Second, s.Lease)
	require.Equal(t, []string{"10.0.0.1:4", "10.0.0.2:4"}, s.Seeds)
	require.Equal(t, 8*time.Second, s.QuotaWindow)
	require.True(t, s.FirstStart)
	require.InDelta(t, 8, s.LinkMbps, 0)
	require.InDelta(t, 0.1, s.RolloutShare, 0)
	require.True(t, s.EndpointSpeeds)
	require.True(t, s.MoveRequests)
}

// A settings file from before an entry was introduced keeps the earlier decisions.
func TestMoveRequestsOffByDefault(t *testing.T) {
	s, err := settings.ParsePlatform([]byte(regexp.MustCompile(`(?m)^move_requests = .*$`).ReplaceAllString(fillTemplate(t), "")))
	require.NoError(t, err)
	require.False(t, s.MoveRequests)
}

// Every number that the platform fills in may be a fraction. No box starts if a setting that is a
// fraction, such as a retry slack of 33.1578947368421, is read as an integer.
func TestTemplateWithFractions(t *testing.T) {
	text := regexp.MustCompile(`= 8(s|ms)?\b`).ReplaceAllString(fillTemplate(t), "= 8.25$1")
	require.Contains(t, text, "slack = 8.25")
	s, err := settings.ParsePlatform([]byte(text))
	require.NoError(t, err)
	require.InDelta(t, 8.25, s.RetrySlack, 0)
	require.InDelta(t, 8.25, s.QuotaSlack, 0)
	require.Equal(t, 8250*time.Millisecond, s.StopLimit)
}

// The defaults apply if the deployment gives none of the optional values.
func TestTemplateWithoutOptional(t *testing.T) {
	b, err := os.ReadFile("../deploy/box.ini")
	require.NoError(t, err)
	text := regexp.MustCompile(`(?m)^\{\{#.*$`).ReplaceAllString(string(b), "")
	text = regexp.MustCompile(`\{\{(seeds|cloud.duties)\}\}`).ReplaceAllString(text, "")
	text = regexp.MustCompile(`\{\{([^}]+)\}\}`).ReplaceAllStringFunc(text, func(s string) string { return templateValues[s[2:len(s)-2]] })
	s, err := settings.ParsePlatform([]byte(text))
	require.NoError(t, err)
	require.Equal(t, 8*time.Second, s.StopLimit)
	require.False(t, s.Autoscale || s.ReportUsage || s.FirstStart)
}

// Choices don't take speeds into account unless the setting says so: a deployment whose settings
// don't mention them is served as before.
func TestEndpointSpeedsOffByDefault(t *testing.T) {
	text := fillTemplate(t)
	for value, want := range map[string]bool{"": false, "endpoint_speeds = no": false, "endpoint_speeds = yes": true} {
		s, err := settings.ParsePlatform([]byte(regexp.MustCompile(`endpoint_speeds = yes`).ReplaceAllString(text, value)))
		require.NoError(t, err)
		require.Equal(t, want, s.EndpointSpeeds)
	}
	_, err := settings.ParsePlatform([]byte(regexp.MustCompile(`endpoint_speeds = yes`).ReplaceAllString(text, "endpoint_speeds = perhaps")))
	require.ErrorContains(t, err, "endpoint_speeds")
}

// The reserve and the return times are off unless the file switches them on, as the template does.
// Guards against decisions that change without a setting.
func TestQuotaSwitches(t *testing.T) {
	s, err := settings.ParsePlatform([]byte(fillTemplate(t)))
	require.NoError(t, err)
	require.True(t, s.QuotaReserve && s.QuotaReturnTimes)
	text := regexp.MustCompile(`(?m)^(reserve|return_times) = yes$`).ReplaceAllString(fillTemplate(t), "")
	s, err = settings.ParsePlatform([]byte(text))
	require.NoError(t, err)
	require.False(t, s.QuotaReserve || s.QuotaReturnTimes)
	_, err = settings.ParsePlatform([]byte("[quota]\nreserve = 1\n"))
	require.ErrorContains(t, err, `reserve = "1"`)
}

// All mistakes are reported together, each with its section and key.
func TestPlatformMistakes(t *testing.T) {
	_, err := settings.ParsePlatform([]byte("[box]\nname = x\n[listen]\ncallers = here\n[duties]\nlease = soon\n[quota]\nslack = -1\n[nowhere]\nx = 1\n"))
	for _, m := range []string{"data_centre", `callers = "here"`, `lease = "soon"`, `slack = "-1"`, "[nowhere]", "[store] address"} {
		require.ErrorContains(t, err, m)
	}
}

// The address of the cloud is optional if the box neither orders endpoints nor reports usage.
func TestCloudAddressOptional(t *testing.T) {
	text := regexp.MustCompile(`(?m)^(address = 10.0.0.9:6|duties = .*)$`).ReplaceAllString(fillTemplate(t), "")
	s, err := settings.ParsePlatform([]byte(text))
	require.NoError(t, err)
	require.False(t, s.Autoscale || s.ReportUsage)
}

func TestPlatformFileMissing(t *testing.T) {
	_, err := settings.LoadPlatform("testdata/no-such-file.ini")
	require.ErrorContains(t, err, "no-such-file.ini")
}

// The decisions under shortage are off unless the settings switch them on, as the template does.
func TestAdmissionSettings(t *testing.T) {
	text := fillTemplate(t)
	s, err := settings.ParsePlatform([]byte(text))
	require.NoError(t, err)
	require.True(t, s.DeadlineCheck)
	s, err = settings.ParsePlatform([]byte(regexp.MustCompile(`(?m)^deadline_check = .*$`).ReplaceAllString(text, "")))
	require.NoError(t, err)
	require.False(t, s.DeadlineCheck)
}
