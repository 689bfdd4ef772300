package kv

import "net/http"

// SetTransport lets a test answer a client's calls without a network.
func SetTransport(c *Client, t http.RoundTripper) { c.http.HTTP.Transport = t }
