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
	// routers is the number of router processes at first.
	routers = 4

	// giveUp bounds the wait for something that does not come at all.
	giveUp = time.Minute

	// tryLimit is how long a caller waits for an answer before it tries
	// another router.
	tryLimit = 3 * time.Second
)

// stage is a deployment of separate processes.
type stage struct {
	*gomega.WithT
	t        *testing.T
	table    *child
	engines  []string
	services []string
	settings []string
	targets  []fault.Target
	routers  []*child
	balancer *fault.Balancer
	callers  []*fault.Caller
	keyFile  string
}

// newStage starts the stand-ins and the routers and waits until all are ready.
func newStage(t *testing.T) *stage {
	t.Helper()
	s := &stage{WithT: gomega.NewWithT(t), t: t, balancer: fault.NewBalancer()}
	s.SetDefaultEventuallyTimeout(giveUp)
	s.table = start(t, "standin", "table")
	table := s.table.listening()
	for _, model := range site.EngineModels() {
		engine := start(t, "standin", "engine", "-models", model, "-slots", "16", "-pace", "2ms", "-lag", "500ms",
			"-orphan", "2s", "-fenced")
		s.engines = append(s.engines, engine.listening())
	}
	for range site.ServiceNames() {
		s.services = append(s.services, start(t, "standin", "service", "-delay", "3ms", "-tells").listening())
	}
	peers := freePorts(t, routers)
	list := []string{"vms"}
	for i, address := range peers {
		list = append(list, fmt.Sprintf("router-%d=%s=local-a=local", i+1, address))
	}
	vms := start(t, "standin", list...).listening()
	ctx, cancel := context.WithCancel(context.Background())
	polled := make(chan struct{})
	for i := range routers {
		s.prepare(site.RouterParams{Name: fmt.Sprintf("router-%d", i+1), Peers: peers[i], Table: table, List: vms})
		s.routers = append(s.routers, nil)
		s.launch(i)
	}
	go func() {
		s.balancer.Run(ctx)
		close(polled)
	}()
	t.Cleanup(func() {
		cancel()
		<-polled
	})
	s.keyFile = filepath.Join(t.TempDir(), "key")
	s.Expect(os.WriteFile(s.keyFile, []byte(site.OperatorKey), 0o600)).To(gomega.Succeed())
	for i := range routers {
		s.ready(i)
	}
	return s
}

// prepare writes the settings of a router.
func (s *stage) prepare(a site.RouterParams) {
	s.t.Helper()
	ports := freePorts(s.t, 2)
	a.Caller, a.Operators, a.Engines, a.Services = ports[0], ports[1], s.engines, s.services
	text, err := site.RenderSettings(a)
	s.Expect(err).NotTo(gomega.HaveOccurred())
	file := filepath.Join(s.t.TempDir(), a.Name+".toml")
	s.Expect(os.WriteFile(file, text, 0o600)).To(gomega.Succeed())
	s.settings = append(s.settings, file)
	target := fault.Target{CallerAddress: a.Caller, OperatorAddress: a.Operators}
	s.targets = append(s.targets, target)
	s.balancer.Add(target)
}

// launch starts the process of a router, for the first time or again.
func (s *stage) launch(router int) {
	s.t.Helper()
	s.routers[router] = start(s.t, "router", "serve", "-settings", s.settings[router])
}

// ready waits until the balancer believes a router ready.
func (s *stage) ready(router int) {
	s.t.Helper()
	s.Eventually(func() bool { return s.balancer.Ready(s.targets[router]) }).
		Should(gomega.BeTrue(), "%s", s.routers[router].errors.String())
}

// unready waits until the balancer believes a router not ready.
func (s *stage) unready(router int) {
	s.t.Helper()
	s.Eventually(func() bool { return s.balancer.Ready(s.targets[router]) }).Should(gomega.BeFalse())
}

// exited waits for the end of a router and returns its exit code.
func (s *stage) exited(router int) int {
	s.t.Helper()
	s.Eventually(s.routers[router].done).Should(gomega.BeClosed())
	return s.routers[router].code
}

// caller returns a caller whose histories are audited at the end.
func (s *stage) caller(pick fault.Picker) *fault.Caller {
	c := fault.NewCaller(site.TeamKey, pick)
	c.Retry, c.AttemptTimeout = true, tryLimit
	s.callers = append(s.callers, c)
	return c
}

// load keeps traffic going until the function that it returns is called.
func (s *stage) load(c *fault.Caller, each int, classes ...string) (stop func()) {
	end := make(chan struct{})
	var group sync.WaitGroup
	group.Go(func() { c.Run(context.Background(), each, end, streams(classes...)...) })
	return func() {
		close(end)
		group.Wait()
	}
}

// answered waits until so many more requests of a class got a whole answer.
func (s *stage) answered(c *fault.Caller, class string, more int) {
	s.t.Helper()
	begun := whole(c, class)
	s.Eventually(func() int { return whole(c, class) }).Should(gomega.BeNumerically(">=", begun+more))
}

// operate runs the operators' command as a process.
func (s *stage) operate(router int, args ...string) (string, error) {
	line := append([]string{"-router", s.targets[router].OperatorAddress, "-keyfile", s.keyFile, "-output", "json"}, args...)
	out, err := exec.Command(binary("operator"), line...).CombinedOutput()
	return string(out), err
}

// inForce expects that a preset comes in force on the routers.
func (s *stage) inForce(preset string, routers ...int) {
	s.t.Helper()
	for _, router := range routers {
		s.Eventually(func() (string, error) { return s.operate(router, "status") }).
			Should(gomega.ContainSubstring(fmt.Sprintf(`"value": %q`, preset)))
	}
}

// get reads a JSON answer of a stand-in.
func (s *stage) get(address, path string, target any) {
	s.t.Helper()
	response, err := http.Get("http://" + address + path)
	s.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = response.Body.Close() }()
	s.Expect(json.NewDecoder(response.Body).Decode(target)).To(gomega.Succeed())
}

// ran counts the runs of each service by key.
func (s *stage) ran() map[string]map[string]int {
	counts := make(map[string]map[string]int)
	for i, name := range site.ServiceNames() {
		var runs []struct{ Key string }
		s.get(s.services[i], "/runs", &runs)
		counts[name] = make(map[string]int)
		for _, run := range runs {
			counts[name][run.Key]++
		}
	}
	return counts
}

// busy counts the requests that the engines have.
func (s *stage) busy() int {
	n := 0
	for _, address := range s.engines {
		var load struct{ Waiting, Running int }
		s.get(address, "/load", &load)
		n += load.Waiting + load.Running
	}
	return n
}

// audit holds every history against what the services ran and prints the
// verdict.
func (s *stage) audit() {
	s.t.Helper()
	counts := s.ran()
	var all []fault.History
	tries := 0
	for _, c := range s.callers {
		all = append(all, c.Histories()...)
	}
	verdicts := make(map[string]int)
	for _, h := range all {
		tries += len(h.Attempts)
		verdicts[verdict(h)]++
	}
	s.t.Logf("%d requests in %d tries: %v", len(all), tries, verdicts)
	found := fault.Audit(all, func(service, key string) int { return counts[service][key] })
	s.t.Logf("violations of: whole answers only, at most once, truthful refusals, one answer for a key: %d", len(found))
	s.Expect(found).To(gomega.BeEmpty())
}

// verdict is how a request ended.
func verdict(h fault.History) string {
	last := h.Last()
	switch {
	case last.Completed:
		return "whole"
	case last.ErrorCode != "":
		return last.ErrorCode + "/" + last.RunState
	}
	return "no answer"
}

func whole(c *fault.Caller, class string) int {
	n := 0
	for _, h := range c.Histories() {
		if h.Stream.Class == class && h.Completed() {
			n++
		}
	}
	return n
}

// streams returns the trial's streams of the classes.
func streams(classes ...string) []traffic.Stream {
	var chosen []traffic.Stream
	for _, stream := range traffic.DefaultStreams(1) {
		if slices.Contains(classes, stream.Class) {
			chosen = append(chosen, stream)
		}
	}
	return chosen
}
