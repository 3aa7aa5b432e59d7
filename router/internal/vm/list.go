// Package vm reads the platform's list of live and leaving VMs. The list lags;
// what it says is a hint. The package imports the standard library only.
package vm

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"
)

// ErrInvalidResponse says that the platform's answer can't be used.
const ErrInvalidResponse = errors.ConstError("unusable answer of the VM list")

// maxAnswer bounds the size of the list in bytes.
const maxAnswer = 16 << 20

// State is where a VM stands in its life.
type State string

// The states of a VM.
const (
	Live    State = "live"
	Leaving State = "leaving"
)

// VM is one entry of the list. The address of a router VM is its address for
// peers, that of a backend server the one that it serves on.
type VM struct {
	Name    string
	Address string
	Zone    string
	Region  string
	State   State
}

// List is the platform's list as it was at a time.
type List struct {
	At  time.Time
	VMs []VM

	// ResponseBytes is the size of the answer.
	ResponseBytes int
}

// Client reads the list.
type Client struct {
	url     string
	timeout time.Duration
	client  *http.Client
}

// NewClient returns a client of the VM list at address. Each call opens a
// connection of its own, since reads are rare and idle connections go silent.
func NewClient(address string, timeout time.Duration) *Client {
	return &Client{
		url:     "http://" + address + "/vms",
		timeout: timeout,
		client:  &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
	}
}

// answer is the JSON form of a list.
type answer struct {
	At  int64      `json:"at"`
	VMs []answerVM `json:"vms"`
}

type answerVM struct {
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
		return nil, fmt.Errorf("make request: %w", err)
	}
	response, err := c.client.Do(request)
	if err != nil {
		return nil, fmt.Errorf("read VM list: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("read VM list: status %d: %w", response.StatusCode, ErrInvalidResponse)
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, maxAnswer))
	if err != nil {
		return nil, fmt.Errorf("read VM list: %w", err)
	}
	var form answer
	if err := json.Unmarshal(data, &form); err != nil {
		return nil, fmt.Errorf("parse VM list: %w: %w", ErrInvalidResponse, err)
	}
	list := &List{At: time.UnixMilli(form.At), ResponseBytes: len(data)}
	for _, vm := range form.VMs {
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
