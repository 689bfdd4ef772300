package kv

import "net/http"

// Transport lets a test answer a client's calls without a network.
func Transport(c *Client, t http.RoundTripper) { c.http.HTTP.Transport = t }
