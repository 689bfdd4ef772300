package ingress

import (
	"bytes"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/errkind"
	"birchlink.dev/birchlink/quota"
)

// The log line of a refusal says why the request has no room now, when it is due, and whether it
// returned. Guards against refusals whose cause an operator cannot tell.
func TestLogOfRefusal(t *testing.T) {
	for _, c := range []struct {
		answer quota.Answer
		want   string
	}{
		{quota.Answer{After: 80 * time.Millisecond, Placed: true}, `{"limit_why":"placed","limit_due":80,"limit_wait":200}`},
		{quota.Answer{After: time.Second, Keeps: true}, `{"limit_why":"no_room_in_time","limit_due":1000,"limit_wait":200}`},
		{quota.Answer{After: 100 * time.Millisecond}, `{"limit_why":"no_place","limit_due":100,"limit_wait":200}`},
		{
			quota.Answer{After: 70 * time.Millisecond, Placed: true, Return: quota.ReturnedEarly},
			`{"limit_why":"returned_early","limit_due":70,"limit_wait":200,"limit_returned":"early"}`,
		},
	} {
		var b bytes.Buffer
		log := zerolog.New(&b)
		err := &limitError{errkind.New(errkind.LimitReached, "over its rate"), quota.Question{Wait: 200 * time.Millisecond}, c.answer}
		log.Log().EmbedObject(err).Send()
		require.JSONEq(t, c.want, b.String())
		require.Equal(t, errkind.LimitReached, errkind.Of(err).Kind)
	}
}
