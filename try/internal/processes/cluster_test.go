//go:build processes

package processes_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"snipetally.example/try/internal/fault"
	"snipetally.example/try/internal/site"
	"snipetally.example/try/internal/traffic"
)

const (
	// routerCount is the number of router processes.
	routerCount = 4

	// eventuallyTimeout bounds each wait for a condition.
	eventuallyTimeout = time.Minute

	// attemptTimeout is how long a caller waits for a response before it retries
	// with another router.
	attemptTimeout = 3 * time.Second
)

// cluster is a deployment of separate processes, and the callers that send load to
// it. Its methods take the index of a router.
type cluster struct {
	*gomega.WithT
	t             *testing.T
	table         *process
	engines       []string
	services      []string
	settingsFiles []string
	targets       []fault.Target
	routers       []*process
	balancer      *fault.Balancer
	callers       []*fault.Caller
	keyFile       string
}

// newCluster starts the fakes and the routers and waits until every router is
// ready.
func newCluster(t *testing.T) *cluster {
	t.Helper()
	c := &cluster{WithT: gomega.NewWithT(t), t: t, balancer: fault.NewBalancer()}
	c.SetDefaultEventuallyTimeout(eventuallyTimeout)
	c.table = start(t, "standin", "table")
	tableAddress := c.table.readAddress()
	for _, model := range site.EngineModels() {
		engine := start(t, "standin", "engine", "-models", model, "-slots", "16", "-pace", "2ms", "-lag", "500ms",
			"-orphan", "2s", "-fenced")
		c.engines = append(c.engines, engine.readAddress())
	}
	for range site.ServiceNames() {
		c.services = append(c.services, start(t, "standin", "service", "-delay", "3ms", "-tells").readAddress())
	}
	peerAddresses := freeAddresses(t, routerCount)
	vmArgs := []string{"vms"}
	for i, address := range peerAddresses {
		vmArgs = append(vmArgs, fmt.Sprintf("router-%d=%s=local-a=local", i+1, address))
	}
	vmListAddress := start(t, "standin", vmArgs...).readAddress()
	ctx, cancel := context.WithCancel(context.Background())
	balancerDone := make(chan struct{})
	for i := range routerCount {
		c.writeSettings(site.RouterParams{Name: fmt.Sprintf("router-%d", i+1), PeerAddress: peerAddresses[i], TableAddress: tableAddress, VMListAddress: vmListAddress})
		c.routers = append(c.routers, nil)
		c.startRouter(i)
	}
	go func() {
		c.balancer.Run(ctx)
		close(balancerDone)
	}()
	t.Cleanup(func() {
		cancel()
		<-balancerDone
	})
	c.keyFile = filepath.Join(t.TempDir(), "key")
	c.Expect(os.WriteFile(c.keyFile, []byte(site.OperatorKey), 0o600)).To(gomega.Succeed())
	for i := range routerCount {
		c.waitReady(i)
	}
	return c
}

// writeSettings writes the settings file of a router and adds the router to the
// balancer. It sets the addresses that params leaves empty.
func (c *cluster) writeSettings(params site.RouterParams) {
	c.t.Helper()
	ports := freeAddresses(c.t, 2)
	params.CallerAddress, params.OperatorAddress, params.EngineAddresses, params.ServiceAddresses = ports[0], ports[1], c.engines, c.services
	text, err := site.RenderSettings(params)
	c.Expect(err).NotTo(gomega.HaveOccurred())
	file := filepath.Join(c.t.TempDir(), params.Name+".toml")
	c.Expect(os.WriteFile(file, text, 0o600)).To(gomega.Succeed())
	c.settingsFiles = append(c.settingsFiles, file)
	target := fault.Target{CallerAddress: params.CallerAddress, OperatorAddress: params.OperatorAddress}
	c.targets = append(c.targets, target)
	c.balancer.Add(target)
}

// startRouter starts or restarts the process of a router.
func (c *cluster) startRouter(router int) {
	c.t.Helper()
	c.routers[router] = start(c.t, "router", "serve", "-settings", c.settingsFiles[router])
}

// waitReady waits until the balancer finds a router ready.
func (c *cluster) waitReady(router int) {
	c.t.Helper()
	c.Eventually(func() bool { return c.balancer.Ready(c.targets[router]) }).
		Should(gomega.BeTrue(), "%s", c.routers[router].stderr.String())
}

// waitNotReady waits until the balancer finds a router not ready.
func (c *cluster) waitNotReady(router int) {
	c.t.Helper()
	c.Eventually(func() bool { return c.balancer.Ready(c.targets[router]) }).Should(gomega.BeFalse())
}

// waitExit waits until a router has exited and returns its exit code.
func (c *cluster) waitExit(router int) int {
	c.t.Helper()
	c.Eventually(c.routers[router].done).Should(gomega.BeClosed())
	return c.routers[router].exitCode
}

// newCaller returns a caller whose histories audit includes.
func (c *cluster) newCaller(pick fault.Picker) *fault.Caller {
	caller := fault.NewCaller(site.TeamKey, pick)
	caller.Retry, caller.AttemptTimeout = true, attemptTimeout
	c.callers = append(c.callers, caller)
	return caller
}

// startLoad keeps perStream requests of each class in flight until the returned
// function is called, which waits for the last request to end.
func (c *cluster) startLoad(caller *fault.Caller, perStream int, classes ...string) (stop func()) {
	done := make(chan struct{})
	var group sync.WaitGroup
	group.Go(func() { caller.Run(context.Background(), perStream, done, streamsOf(classes...)...) })
	return func() {
		close(done)
		group.Wait()
	}
}

// waitCompleted waits until the given number of further requests of a class have
// completed.
func (c *cluster) waitCompleted(caller *fault.Caller, class string, more int) {
	c.t.Helper()
	before := countCompleted(caller, class)
	c.Eventually(func() int { return countCompleted(caller, class) }).Should(gomega.BeNumerically(">=", before+more))
}

// runCommand runs the operator command as a process against a router and returns
// its combined output.
func (c *cluster) runCommand(router int, args ...string) (string, error) {
	commandLine := append([]string{"-router", c.targets[router].OperatorAddress, "-keyfile", c.keyFile, "-output", "json"}, args...)
	out, err := exec.Command(binaryPath("operator"), commandLine...).CombinedOutput()
	return string(out), err
}

// waitPreset waits until the routers report that a preset is in force.
func (c *cluster) waitPreset(preset string, routers ...int) {
	c.t.Helper()
	for _, router := range routers {
		c.Eventually(func() (string, error) { return c.runCommand(router, "status") }).
			Should(gomega.ContainSubstring(fmt.Sprintf(`"value": %q`, preset)))
	}
}

// getJSON requests a path from a fake and decodes the JSON response into target.
func (c *cluster) getJSON(address, path string, target any) {
	c.t.Helper()
	response, err := http.Get("http://" + address + path)
	c.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = response.Body.Close() }()
	c.Expect(json.NewDecoder(response.Body).Decode(target)).To(gomega.Succeed())
}

// countRuns counts the runs of each service by idempotency key.
func (c *cluster) countRuns() map[string]map[string]int {
	counts := make(map[string]map[string]int)
	for i, name := range site.ServiceNames() {
		var runs []struct{ Key string }
		c.getJSON(c.services[i], "/runs", &runs)
		counts[name] = make(map[string]int)
		for _, run := range runs {
			counts[name][run.Key]++
		}
	}
	return counts
}

// countEngineRequests counts the requests that wait or run on the engines.
func (c *cluster) countEngineRequests() int {
	n := 0
	for _, address := range c.engines {
		var load struct{ Waiting, Running int }
		c.getJSON(address, "/load", &load)
		n += load.Waiting + load.Running
	}
	return n
}

// audit compares the histories of all callers with what the services ran, expects
// no violation and logs the counts.
func (c *cluster) audit() {
	c.t.Helper()
	counts := c.countRuns()
	var histories []fault.History
	attempts := 0
	for _, caller := range c.callers {
		histories = append(histories, caller.Histories()...)
	}
	outcomes := make(map[string]int)
	for _, h := range histories {
		attempts += len(h.Attempts)
		outcomes[outcome(h)]++
	}
	c.t.Logf("%d requests in %d attempts: %v", len(histories), attempts, outcomes)
	violations := fault.Audit(histories, func(service, key string) int { return counts[service][key] })
	c.t.Logf("%d violations; checked that responses match their requests, calls run at most once, refusals are truthful and an idempotency key has one response", len(violations))
	c.Expect(violations).To(gomega.BeEmpty())
}

// outcome describes how the last attempt of a request ended.
func outcome(h fault.History) string {
	last := h.Last()
	switch {
	case last.Completed:
		return "completed"
	case last.ErrorCode != "":
		return last.ErrorCode + "/" + last.RunState
	}
	return "no response"
}

// countCompleted counts the completed requests of a class.
func countCompleted(caller *fault.Caller, class string) int {
	n := 0
	for _, h := range caller.Histories() {
		if h.Stream.Class == class && h.Completed() {
			n++
		}
	}
	return n
}

// streamsOf returns the trial's streams of the given classes.
func streamsOf(classes ...string) []traffic.Stream {
	var selected []traffic.Stream
	for _, stream := range traffic.DefaultStreams(1) {
		if slices.Contains(classes, stream.Class) {
			selected = append(selected, stream)
		}
	}
	return selected
}
