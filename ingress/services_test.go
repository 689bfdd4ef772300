package ingress_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"birchlink.dev/birchlink/catalog"
	"birchlink.dev/birchlink/origin"
)

// oneVersion says that each service has one version only, and records of which services it is asked.
type oneVersion struct {
	mu    sync.Mutex
	asked map[string]int
}

func (o *oneVersion) Find(_ context.Context, _, _, service, _ string) origin.Finding {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.asked[service]++
	return origin.Finding{Origin: origin.Origin{Service: service, Version: "of " + service}, Known: true}
}

// A route may lead to several services of one version each. A stream whose caller does not name it may have begun at any of them.
func TestUnnamedStreamOfSeveralServices(t *testing.T) {
	d := document
	d.Version, d.Routes = 4, slices.Clone(d.Routes)
	d.Routes = append(d.Routes, catalog.Route{
		Name: "several", Host: "h", Prefix: "/several/", Kind: catalog.Stream, Resumable: true,
		Shares: []catalog.Share{{Service: "s", Weight: 1}, {Service: "one", Weight: 1}}, Timeout: time.Minute, MaxAttempts: 1,
	})
	text, err := json.Marshal(d)
	require.NoError(t, err)
	o := &oneVersion{asked: map[string]int{}}
	b := startBoxWith(t, true, func(b *box) { b.store.Set("config", string(text)) })
	b.Origins = o
	b.await(b.isReady)
	for i := range 20 { // the caller of one stream, under the IDs that its requests may have
		q, err := http.NewRequest(http.MethodPost, "http://"+b.address+"/several/x", nil)
		require.NoError(t, err)
		q.Host = "h"
		q.Header.Set("Id", fmt.Sprint("request-", i))
		q.Header.Set("Key", "k")
		q.Header.Set("Last", "3")
		resp, err := http.DefaultClient.Do(q)
		require.NoError(t, err)
		require.NoError(t, resp.Body.Close())
		require.Equal(t, http.StatusServiceUnavailable, resp.StatusCode)
	}
	require.Empty(t, o.asked, "the stream goes on at the version of any of the services")
}
