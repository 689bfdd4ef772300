package kv

import "net/http"

// SetTransport sets the transport of a client, so that a test can serve calls without a network.
func SetTransport(c *Client, t http.RoundTripper) { c.http.HTTP.Transport = t }
