package record_test

import (
	"fmt"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"snipetally.example/coordination/record"
	"snipetally.example/coordination/seeds"
)

// scenario is a set of requests and faults to run.
type scenario struct {
	routers   int
	requests  []request
	faults    map[int]faultKind
	behaviors []behavior
	outages   []outagePeriod
	prober    bool
	peers     bool
}

// scenarioResult is the result of running a scenario.
type scenarioResult struct {
	violation      string
	steps          int
	faultsInjected int
	trace          []record.Step
}

// runScenario runs a scenario in virtual time.
func runScenario(t *testing.T, s scenario) scenarioResult {
	t.Helper()
	var res scenarioResult
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t.Context(), s.routers, s.faults, func(config *record.Config) {
			config.Incarnation = fmt.Sprintf("%s-%d", config.VM, time.Now().UnixNano())
			if !s.prober {
				config.Prober = nil
			}
			if !s.peers {
				config.Peers = nil
			}
		})
		defer c.stop()
		c.server.behaviors = s.behaviors
		for _, w := range s.outages {
			now := time.Now()
			c.outages = append(c.outages, outagePeriod{from: now.Add(w.from.Sub(time.Time{})), to: now.Add(w.to.Sub(time.Time{}))})
		}
		history := c.sendAll(s.requests)
		c.mu.Lock()
		res.steps = c.steps
		res.trace = c.trace
		c.mu.Unlock()
		history = c.retryAll(history)
		res.violation = c.check(history)
		if res.violation == "" && s.prober {
			res.violation = c.checkAllDecided(history, len(s.requests))
		}
		c.mu.Lock()
		res.faultsInjected = c.faultsInjected
		c.mu.Unlock()
	})
	return res
}

// epoch is the time at which a synctest bubble starts.
var epoch = time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)

// oneCall is a call with one retry while it runs and one after it.
func oneCall(prober bool) scenario {
	key := timedKey(epoch, 1)
	return scenario{
		routers: 3,
		prober:  prober,
		peers:   true,
		requests: []request{
			{router: 0, key: key, body: "b"},
			{at: 15 * time.Millisecond, router: 1, key: key, body: "b"},
			{at: 2500 * time.Millisecond, router: 2, key: key, body: "b"},
		},
	}
}

func TestOneCallRunsAtMostOnceWithAFaultAtEachStep(t *testing.T) {
	for _, prober := range []bool{false, true} {
		faultless := runScenario(t, oneCall(prober))
		if faultless.violation != "" {
			t.Fatal(faultless.violation)
		}
		checked := 0
		for step := range faultless.steps {
			for fault := noFault + 1; fault < faultKindCount; fault++ {
				checkOneCall(t, prober, map[int]faultKind{step: fault})
				checked++
			}
		}
		t.Logf("prober %v: %d steps, %d interleavings with one fault", prober, faultless.steps, checked)
	}
}

// pairStride selects the pairs of faults for a normal run, which checks every
// pairStride-th pair.
const pairStride = 37

func TestOneCallRunsAtMostOnceWithTwoFaults(t *testing.T) {
	stride := pairStride
	if os.Getenv(seeds.ChecksVariable) != "" {
		stride = 1
	}
	for _, prober := range []bool{false, true} {
		faultless := runScenario(t, oneCall(prober))
		total, checked := 0, 0
		for step := range faultless.steps {
			for fault := noFault + 1; fault < faultKindCount; fault++ {
				// The first fault changes the steps that follow.
				first := runScenario(t, oneCallWithFaults(prober, map[int]faultKind{step: fault}))
				for second := step + 1; second < first.steps; second++ {
					for secondFault := noFault + 1; secondFault < faultKindCount; secondFault++ {
						total++
						if total%stride == 0 {
							checkOneCall(t, prober, map[int]faultKind{step: fault, second: secondFault})
							checked++
						}
					}
				}
			}
		}
		t.Logf("prober %v: %d of %d interleavings with two faults", prober, checked, total)
	}
}

// oneCallWithFaults returns the scenario of one call with faults.
func oneCallWithFaults(prober bool, faults map[int]faultKind) scenario {
	s := oneCall(prober)
	s.faults = faults
	return s
}

// checkOneCall runs the scenario of one call with faults and reports
// violations.
func checkOneCall(t *testing.T, prober bool, faults map[int]faultKind) {
	t.Helper()
	if res := runScenario(t, oneCallWithFaults(prober, faults)); res.violation != "" {
		t.Errorf("prober %v, faults %v: %s", prober, faults, res.violation)
	}
}

func TestSeveralCallsRunAtMostOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := drawScenario(rt)
		res := runScenario(t, s)
		if res.violation != "" {
			rt.Fatalf("%s", res.violation)
		}
	})
}

// drawScenario draws requests for a few keys with retries through several
// routers, faults at steps, and outages of the table.
func drawScenario(rt *rapid.T) scenario {
	s := scenario{
		routers: 3,
		faults:  make(map[int]faultKind),
		prober:  rapid.Bool().Draw(rt, "prober"),
		peers:   rapid.IntRange(0, 4).Draw(rt, "peers") > 0,
	}
	keys := []string{"k", "l"}
	if rapid.IntRange(0, 2).Draw(rt, "timed") > 0 {
		keys = []string{timedKey(epoch, 1), timedKey(epoch.Add(200*time.Millisecond), 2), timedKey(epoch.Add(time.Second), 3)}
	}
	for i := range rapid.IntRange(2, 8).Draw(rt, "requests") {
		body := "b"
		if rapid.IntRange(0, 7).Draw(rt, "other body") == 0 {
			body = "c"
		}
		s.requests = append(s.requests, request{
			at:     time.Duration(rapid.IntRange(0, 8000).Draw(rt, "at")/rapid.SampledFrom([]int{1, 100}).Draw(rt, "divisor"))*time.Millisecond + time.Duration(i)*37*time.Microsecond,
			router: rapid.IntRange(0, 2).Draw(rt, "router"),
			key:    rapid.SampledFrom(keys).Draw(rt, "key"),
			body:   body,
		})
	}
	for range rapid.IntRange(0, 5).Draw(rt, "faults") {
		step := rapid.IntRange(0, 90).Draw(rt, "step")
		s.faults[step] = faultKind(rapid.IntRange(1, int(faultKindCount)-1).Draw(rt, "fault"))
	}
	for range rapid.IntRange(0, 4).Draw(rt, "behaviors") {
		s.behaviors = append(s.behaviors, behavior(rapid.IntRange(0, int(behaviorCount)-1).Draw(rt, "behavior")))
	}
	if rapid.IntRange(0, 3).Draw(rt, "outage") == 0 {
		from := time.Duration(rapid.IntRange(0, 6000).Draw(rt, "from")) * time.Millisecond
		length := time.Duration(rapid.IntRange(1, 4000).Draw(rt, "length")) * time.Millisecond
		s.outages = append(s.outages, outagePeriod{from: time.Time{}.Add(from), to: time.Time{}.Add(from + length)})
	}
	return s
}
