package fault_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/google/subcommands"
	"github.com/onsi/gomega"

	"snipetally.example/try/internal/fault"
	"snipetally.example/try/internal/site"
	"snipetally.example/try/internal/traffic"
)

// giveUp bounds the wait for something that does not come at all.
const giveUp = time.Minute

// rig is a site under load.
type rig struct {
	*gomega.WithT
	t        *testing.T
	site     *site.Site
	balancer *fault.Balancer
	caller   *fault.Caller
}

// newRig starts a site and waits until its routers are ready.
func newRig(t *testing.T) *rig {
	t.Helper()
	t.Parallel()
	g := gomega.NewWithT(t)
	g.SetDefaultEventuallyTimeout(giveUp)
	ctx, cancel := context.WithCancel(context.Background())
	s, err := site.New(ctx, "", io.Discard)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	r := &rig{WithT: g, t: t, site: s, balancer: fault.NewBalancer()}
	r.caller = fault.NewCaller(site.TeamKey, r.balancer.Pick)
	done := make(chan error, 1)
	go func() { done <- s.Run(ctx) }()
	polled := make(chan struct{})
	go func() {
		r.balancer.Run(ctx)
		close(polled)
	}()
	t.Cleanup(func() {
		cancel()
		<-polled
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	for i := range s.Routers {
		r.balancer.Add(r.target(i))
	}
	for i := range s.Routers {
		r.Eventually(func() bool { return r.balancer.Ready(r.target(i)) }).Should(gomega.BeTrue())
	}
	return r
}

// target is a router as the balancer knows it.
func (r *rig) target(i int) fault.Target {
	router := r.site.Routers[i]
	return fault.Target{CallerAddress: router.CallerAddress(), OperatorAddress: router.OperatorAddress()}
}

// load keeps traffic going until the function that it returns is called.
func (r *rig) load(each int, classes ...string) (stop func()) {
	return r.loadStreams(each, streams(classes...)...)
}

// loadStreams is load with streams that need not be those of the trial.
func (r *rig) loadStreams(each int, streams ...traffic.Stream) (stop func()) {
	end := make(chan struct{})
	var group sync.WaitGroup
	group.Go(func() { r.caller.Run(context.Background(), each, end, streams...) })
	return func() {
		close(end)
		group.Wait()
	}
}

// answered waits until so many more requests of a class got a whole answer.
func (r *rig) answered(class string, more int) {
	r.t.Helper()
	begun := r.whole(class)
	r.Eventually(func() int { return r.whole(class) }).Should(gomega.BeNumerically(">=", begun+more))
}

func (r *rig) whole(class string) int {
	n := 0
	for _, h := range r.caller.Histories() {
		if h.Stream.Class == class && h.Completed() {
			n++
		}
	}
	return n
}

// audit expects that no promise was broken.
func (r *rig) audit() {
	r.t.Helper()
	histories := r.caller.Histories()
	r.t.Logf("%d requests", len(histories))
	r.Expect(histories).NotTo(gomega.BeEmpty())
	r.Expect(fault.Audit(histories, r.runs)).To(gomega.BeEmpty())
}

// runs returns how often a service ran a key.
func (r *rig) runs(name, key string) int {
	for _, service := range r.site.Services {
		if service.Name == name {
			_, n := service.CountRuns("", key)
			return n
		}
	}
	return 0
}

// operate runs an operators' command.
func (r *rig) operate(router int, args ...string) (subcommands.ExitStatus, string) {
	code, out, errs, err := r.site.RunCommandWithKey(context.Background(), router, site.OperatorKey, args...)
	r.Expect(err).NotTo(gomega.HaveOccurred())
	return subcommands.ExitStatus(code), out + errs
}

// inForce expects that a preset comes in force on the routers.
func (r *rig) inForce(preset string, routers ...int) {
	r.t.Helper()
	for _, router := range routers {
		r.Eventually(func() string {
			_, out := r.operate(router, "status")
			return out
		}).Should(gomega.ContainSubstring(fmt.Sprintf(`"value": %q`, preset)))
	}
}

// streams returns the trial's streams of the classes.
func streams(classes ...string) []traffic.Stream {
	var chosen []traffic.Stream
	for _, class := range classes {
		for _, stream := range traffic.DefaultStreams(1) {
			if stream.Class == class {
				chosen = append(chosen, stream)
			}
		}
	}
	return chosen
}

// revisionOf returns the revision that a status names.
func revisionOf(status string) string {
	var rows []struct{ Item, Value string }
	if json.Unmarshal([]byte(status), &rows) != nil {
		return ""
	}
	for _, row := range rows {
		if row.Item == "revision" {
			return row.Value
		}
	}
	return ""
}
