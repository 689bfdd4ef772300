package cloud

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"birchlink.dev/birchlink/fleet"
	"birchlink.dev/birchlink/jsonhttp"
)

// callTimeout bounds one call to the cloud API or the box list.
const callTimeout = 2 * time.Second

// Client calls the cloud API and the box list. Each call is bounded by two seconds.
type Client struct {
	cloud   *jsonhttp.Client
	boxList *jsonhttp.Client
}

// New returns a client for the addresses of the cloud API and of the box list. caller identifies it
// to both.
func New(cloud, list, caller string) *Client {
	return &Client{cloud: jsonhttp.New(cloud, caller, callTimeout), boxList: jsonhttp.New(list, caller, callTimeout)}
}

// Boxes returns the box list. It lags behind the state of the boxes.
func (c *Client) Boxes(x context.Context) ([]fleet.Box, error) {
	var bs []fleet.Box
	if err := c.boxList.Do(x, http.MethodGet, "/boxes", nil, &bs); err != nil {
		return nil, fmt.Errorf("box list: %w", err)
	}
	return bs, nil
}

// Notices returns all boxes that currently have a reclaim notice.
func (c *Client) Notices(x context.Context) ([]fleet.Box, error) {
	var bs []fleet.Box
	if err := c.cloud.Do(x, http.MethodGet, "/notices", nil, &bs); err != nil {
		return nil, fmt.Errorf("reclaim notices: %w", err)
	}
	return bs, nil
}

// Prices returns the current prices and supply.
func (c *Client) Prices(x context.Context) ([]Price, error) {
	var ps []Price
	if err := c.cloud.Do(x, http.MethodGet, "/prices", nil, &ps); err != nil {
		return nil, fmt.Errorf("prices: %w", err)
	}
	return ps, nil
}

// Start orders a box and returns it. The cloud may refuse.
func (c *Client) Start(x context.Context, s Start) (fleet.Box, error) {
	var b fleet.Box
	if err := c.cloud.Do(x, http.MethodPost, "/start", s, &b); err != nil {
		return b, fmt.Errorf("start box: %w", err)
	}
	return b, nil
}

// Stop returns a box to the cloud.
func (c *Client) Stop(x context.Context, box string) error {
	if err := c.cloud.Do(x, http.MethodPost, "/stop/"+box, nil, nil); err != nil {
		return fmt.Errorf("stop box: %w", err)
	}
	return nil
}
