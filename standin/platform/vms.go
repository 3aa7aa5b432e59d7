package platform

import (
	"net/http"
	"sync"
	"time"
)

// VMState says whether a VM stays.
type VMState string

// The states of a VM.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VM is one entry of the list.
type VM struct {
	Name    string
	Address string
	Zone    string
	Region  string
	State   VMState
}

// sample is the list at a time.
type sample struct {
	at  time.Time
	vms []VM
}

// VMList is the VM list, which lags. It implements http.Handler for GET /vms.
type VMList struct {
	// mu guards the fields below.
	mu      sync.Mutex
	lag     time.Duration
	down    bool
	samples []sample
}

// NewVMList returns a list with the given entries, which shows changes after lag.
func NewVMList(lag time.Duration, vms ...VM) *VMList {
	l := &VMList{lag: lag}
	l.samples = []sample{{at: time.Now().Add(-lag), vms: vms}}
	return l
}

// Set replaces the entries.
func (l *VMList) Set(vms ...VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.samples = append(l.samples, sample{at: time.Now(), vms: append([]VM(nil), vms...)})
}

// SetLag sets how late the list shows changes.
func (l *VMList) SetLag(lag time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lag = lag
}

// SetUnavailable makes each call answer 503 until it is called with false.
func (l *VMList) SetUnavailable(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
}

// vmBody is a VM on the wire.
type vmBody struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Region  string  `json:"region"`
	State   VMState `json:"state"`
}

// vmsBody is the list on the wire.
type vmsBody struct {
	At  int64    `json:"at"`
	VMs []vmBody `json:"vms"`
}

// ServeHTTP implements http.Handler.
func (l *VMList) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodGet || r.URL.Path != "/vms" {
		http.NotFound(w, r)
		return
	}
	horizon, vms, down := l.visible()
	if down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	body := vmsBody{At: horizon.UnixMilli(), VMs: make([]vmBody, 0, len(vms))}
	for _, vm := range vms {
		body.VMs = append(body.VMs, vmBody(vm))
	}
	send(w, http.StatusOK, body)
}

// visible returns what the list shows now and the time of that sample.
func (l *VMList) visible() (time.Time, []VM, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	horizon := time.Now().Add(-l.lag)
	shown := l.samples[0]
	for _, s := range l.samples {
		if !s.at.After(horizon) {
			shown = s
		}
	}
	return horizon, shown.vms, l.down
}
