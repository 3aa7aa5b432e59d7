package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// fleet is the store, the runners and the routers of a play.
type fleet struct {
	store   *store
	host    string // The first three numbers of the routers' addresses.
	dir     string
	program string
	routers []*router
	bounds  map[string]any

	mu     sync.Mutex
	record *os.File
	start  time.Time
}

type router struct {
	name, ip string
	command  *exec.Cmd
	settings string
	log      string
	exited   chan struct{}
}

func newFleet(program, record string, count int) (*fleet, error) {
	dir, err := os.MkdirTemp("", "play")
	if err != nil {
		return nil, err
	}
	file, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	f := &fleet{store: newStore(), dir: dir, program: program, record: file, start: time.Now(), bounds: map[string]any{
		"seed-staleness-s": 3, "addr-reuse-s": 2, "stable-window-ms": 3000, "ack-timeout-ms": 4000, "sync-timeout-s": 4,
		"drain-timeout-ms": 2000, "grace-period-s": 8, "loss-slack-ms": 200, "config-apply-ms": 2000, "rollback-slack-ms": 250,
		"max-skew-ms": 5000, "strict-revocation": true, "revocation-ms": 5000, "retry-ratio": 0.2, "retry-window-s": 10,
		"retry-extra": 58, "recovery-s": 12, "pass-ms": 120, "retry-after-s": 10,
	}}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		_ = os.RemoveAll(dir)
		os.Exit(unable) // The routers are killed with this process.
	}()
	f.host = f.freeHost()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	go f.store.serve(l)
	var seeds []string
	for i := range min(count, 3) {
		seeds = append(seeds, fmt.Sprintf("%s.%d:8229", f.host, 10+i))
	}
	for i := range count {
		ip := fmt.Sprintf("%s.%d", f.host, 10+i)
		r := &router{name: fmt.Sprintf("edge-%d", i+1), ip: ip}
		r.settings, r.log = filepath.Join(dir, r.name+".json"), filepath.Join(dir, r.name+".log")
		data, _ := json.Marshal(map[string]any{
			"node-name": r.name, "role": "router", "machine-class": "edge", "serves": []string{"edge", "control"}, "ip": ip,
			"zone": "z", "region": "r", "zones": map[string]string{"z": "r"},
			"listen":     map[string]string{"frontend": ip + ":8227", "readiness": ip + ":8220", "control": ip + ":8229"},
			"port-range": []int{7340, 7355}, "seeds": seeds, "bootstrap": true, "heartbeat-ms": 1200,
			"limits":   map[string]any{"cpu-quota": 0.4, "cores": 1, "memory-mb": 284, "max-fds": 4100, "bandwidth-mbps": 1000, "disk-mb": 0},
			"bounds":   f.bounds,
			"platform": map[string]any{"address": l.Addr().String(), "form": "table"},
		})
		if err := os.WriteFile(r.settings, data, 0o600); err != nil {
			return nil, err
		}
		f.routers = append(f.routers, r)
	}
	return f, nil
}

// freeHost returns a loopback network that nobody uses.
func (f *fleet) freeHost() string {
	for {
		host := fmt.Sprintf("127.%d.%d", 1+rand.IntN(253), rand.IntN(256))
		free := true
		for _, port := range []int{8227, 8220, 8229, 7340, 7344} {
			l, err := net.Listen("tcp4", fmt.Sprintf("%s.10:%d", host, port))
			if err != nil {
				free = false
				break
			}
			_ = l.Close()
		}
		if free {
			return host
		}
	}
}

// note writes a line of the record.
func (f *fleet) note(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	fmt.Fprintf(f.record, "%9.3f s  %s\n", time.Since(f.start).Seconds(), fmt.Sprintf(format, args...))
}

// startRouter starts the process of a router.
func (f *fleet) startRouter(r *router) error {
	log, err := os.OpenFile(r.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	r.command = exec.Command(f.program, "serve")
	r.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "SNIPETALLY_BOOT=" + r.settings}
	r.command.Stdout, r.command.Stderr = log, log
	r.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := r.command.Start(); err != nil {
		return err
	}
	exited, command := make(chan struct{}), r.command
	r.exited = exited
	go func() { _ = command.Wait(); _ = log.Close(); close(exited) }()
	f.note("%s started", r.name)
	return nil
}

func (f *fleet) signal(r *router, s syscall.Signal) {
	f.note("%s gets %v", r.name, s)
	_ = r.command.Process.Signal(s)
}

// awaitReady waits until a router is ready, at most for a time.
func (f *fleet) awaitReady(r *router, limit time.Duration) bool {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		response, err := client.Get("http://" + r.ip + ":8220/v1/ready")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			f.note("%s is ready", r.name)
			return true
		}
	}
	return false
}

// startAll starts all routers and waits until they are ready.
func (f *fleet) startAll() bool {
	for _, r := range f.routers {
		if err := f.startRouter(r); err != nil {
			f.note("%v", err)
			return false
		}
	}
	for _, r := range f.routers {
		if !f.awaitReady(r, 10*time.Second) {
			return false
		}
	}
	return true
}

// stop ends all processes that were started.
func (f *fleet) stop() {
	for _, r := range f.routers {
		if r.command != nil && r.command.Process != nil {
			_ = r.command.Process.Signal(syscall.SIGCONT)
			_ = r.command.Process.Kill()
			<-r.exited
		}
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		for _, r := range f.routers {
			data, _ := os.ReadFile(r.log)
			_ = os.WriteFile(filepath.Join(keep, r.name+".log"), data, 0o600)
		}
	}
	_ = f.record.Close()
	_ = os.RemoveAll(f.dir)
}

// attemptID returns the ID of a new request.
func attemptID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// setSeeds rewrites the seeds in the settings file of a router.
func (f *fleet) setSeeds(r *router, seeds ...*router) {
	data, _ := os.ReadFile(r.settings)
	var all map[string]any
	_ = json.Unmarshal(data, &all)
	var list []string
	for _, s := range seeds {
		list = append(list, s.ip+":8229")
	}
	all["seeds"] = list
	data, _ = json.Marshal(all)
	_ = os.WriteFile(r.settings+".new", data, 0o600)
	_ = os.Rename(r.settings+".new", r.settings)
	f.note("settings of %s now have the seeds %v", r.name, list)
}
