package platform

import (
	"net/http"
	"sync"
	"time"
)

// VMState is the lifecycle state of a VM.
type VMState string

// The lifecycle states of a VM.
const (
	VMLive    VMState = "live"
	VMLeaving VMState = "leaving"
)

// VM is one entry of the VM list.
type VM struct {
	Name    string
	Address string
	Zone    string
	Region  string
	State   VMState
}

// snapshot holds the entries of the list from a given time on.
type snapshot struct {
	at  time.Time
	vms []VM
}

// VMList is a fake of the platform's VM list, which shows changes late. It
// implements http.Handler for GET /vms.
type VMList struct {
	lag time.Duration

	// mu guards the fields below.
	mu          sync.Mutex
	unavailable bool
	snapshots   []snapshot
}

// NewVMList returns a list that shows the given entries at once and changes after
// lag.
func NewVMList(lag time.Duration, vms ...VM) *VMList {
	l := &VMList{lag: lag}
	l.snapshots = []snapshot{{at: time.Now().Add(-lag), vms: vms}}
	return l
}

// Set replaces all entries.
func (l *VMList) Set(vms ...VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.snapshots = append(l.snapshots, snapshot{at: time.Now(), vms: append([]VM(nil), vms...)})
}

// SetUnavailable makes requests fail with status 503 until it is called with
// false.
func (l *VMList) SetUnavailable(unavailable bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unavailable = unavailable
}

// vmBody is the encoded form of VM.
type vmBody struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Region  string  `json:"region"`
	State   VMState `json:"state"`
}

// vmsBody is the encoded VM list. At is in Unix milliseconds.
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
	cutoff, vms, unavailable := l.visibleVMs()
	if unavailable {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	body := vmsBody{At: cutoff.UnixMilli(), VMs: make([]vmBody, 0, len(vms))}
	for _, vm := range vms {
		body.VMs = append(body.VMs, vmBody(vm))
	}
	writeJSON(w, http.StatusOK, body)
}

// visibleVMs returns the time up to which changes are visible now, the entries as
// of that time and whether the list is unavailable.
func (l *VMList) visibleVMs() (time.Time, []VM, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	cutoff := time.Now().Add(-l.lag)
	visible := l.snapshots[0]
	for _, s := range l.snapshots {
		if !s.at.After(cutoff) {
			visible = s
		}
	}
	return cutoff, visible.vms, l.unavailable
}
