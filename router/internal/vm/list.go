// Package vm reads the platform's list of live and leaving VMs. The list lags
// behind the actual state and is only a hint. The package imports no other package
// of the router.
package vm

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/juju/errors"

	"snipetally.example/coordination/response"
)

// ErrInvalidResponse means that the response of the VM list service is unusable.
const ErrInvalidResponse = errors.ConstError("invalid response from the VM list service")

// maxResponseBytes bounds the size of a response.
const maxResponseBytes = 16 << 20

// State is the state of a VM in its life cycle.
type State string

// The states of a VM.
const (
	Live    State = "live"
	Leaving State = "leaving"
)

// VM is an entry of the list. Address is the peer address of a router VM, or the
// address that a backend server listens on.
type VM struct {
	Name    string
	Address string
	Zone    string
	Region  string
	State   State
}

// List is the platform's VM list as of the time At.
type List struct {
	At  time.Time
	VMs []VM

	// ResponseBytes is the size of the response that contained the list.
	ResponseBytes int
}

// Client reads the VM list from the platform.
type Client struct {
	url     string
	timeout time.Duration
	client  *http.Client
}

// NewClient returns a client of the VM list service at address. Each read opens a
// new connection, since reads are rare and idle connections go silent. Timeout
// bounds a read.
func NewClient(address string, timeout time.Duration) *Client {
	return &Client{
		url:     "http://" + address + "/vms",
		timeout: timeout,
		client:  &http.Client{Transport: &http.Transport{DialContext: response.Checked((&net.Dialer{}).DialContext), DisableKeepAlives: true}},
	}
}

// listResponse is the JSON response with a list.
type listResponse struct {
	At  int64       `json:"at"`
	VMs []listEntry `json:"vms"`
}

type listEntry struct {
	Name    string `json:"name"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	Region  string `json:"region"`
	State   string `json:"state"`
}

// Read returns the newest list.
func (c *Client) Read(ctx context.Context) (*List, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url, nil)
	if err != nil {
		return nil, fmt.Errorf("create request: %w", err)
	}
	response, err := c.client.Do(request)
	if err != nil {
		return nil, fmt.Errorf("read VM list: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("read VM list: status %d: %w", response.StatusCode, ErrInvalidResponse)
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return nil, fmt.Errorf("read VM list: %w", err)
	}
	var body listResponse
	if err := json.Unmarshal(data, &body); err != nil {
		return nil, fmt.Errorf("parse VM list: %w: %w", ErrInvalidResponse, err)
	}
	list := &List{At: time.UnixMilli(body.At), ResponseBytes: len(data)}
	for _, vm := range body.VMs {
		list.VMs = append(list.VMs, VM{
			Name:    vm.Name,
			Address: vm.Address,
			Zone:    vm.Zone,
			Region:  vm.Region,
			State:   State(vm.State),
		})
	}
	return list, nil
}
