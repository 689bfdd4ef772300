package cloud

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"birchlink.dev/birchlink/fleet"
	"birchlink.dev/birchlink/jsonhttp"
)

// callLimit bounds one call of the cloud API or the box list.
const callLimit = 2 * time.Second

// Client calls the cloud API and the box list.
type Client struct {
	cloud *jsonhttp.Client
	list  *jsonhttp.Client
}

// New returns a client for the two addresses.
func New(cloud, list, caller string) *Client {
	return &Client{cloud: jsonhttp.New(cloud, caller, callLimit), list: jsonhttp.New(list, caller, callLimit)}
}

// Boxes returns the box list, which lags.
func (c *Client) Boxes(x context.Context) ([]fleet.Box, error) {
	var bs []fleet.Box
	if err := c.list.Do(x, http.MethodGet, "/boxes", nil, &bs); err != nil {
		return nil, fmt.Errorf("box list: %w", err)
	}
	return bs, nil
}

// Notices returns every box that has a reclaim notice now.
func (c *Client) Notices(x context.Context) ([]fleet.Box, error) {
	var bs []fleet.Box
	if err := c.cloud.Do(x, http.MethodGet, "/notices", nil, &bs); err != nil {
		return nil, fmt.Errorf("reclaim notices: %w", err)
	}
	return bs, nil
}

// Prices returns the prices and the supply at this moment.
func (c *Client) Prices(x context.Context) ([]Price, error) {
	var ps []Price
	if err := c.cloud.Do(x, http.MethodGet, "/prices", nil, &ps); err != nil {
		return nil, fmt.Errorf("prices: %w", err)
	}
	return ps, nil
}

// Start asks for a box. The cloud may refuse.
func (c *Client) Start(x context.Context, s Start) (fleet.Box, error) {
	var b fleet.Box
	if err := c.cloud.Do(x, http.MethodPost, "/start", s, &b); err != nil {
		return b, fmt.Errorf("start box: %w", err)
	}
	return b, nil
}

// Stop gives a box back.
func (c *Client) Stop(x context.Context, box string) error {
	if err := c.cloud.Do(x, http.MethodPost, "/stop/"+box, nil, nil); err != nil {
		return fmt.Errorf("stop box: %w", err)
	}
	return nil
}
