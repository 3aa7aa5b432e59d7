package caller_test

import (
	"context"
	"crypto/sha256"
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"snipetally.example/coordination/record"
	"snipetally.example/coordination/table/memory"
	"snipetally.example/router/internal/attempt"
	"snipetally.example/router/internal/backend"
	"snipetally.example/router/internal/caller"
	"snipetally.example/router/internal/class"
	"snipetally.example/router/internal/contract"
	"snipetally.example/router/internal/fleet"
	"snipetally.example/router/internal/link"
	"snipetally.example/router/internal/preset"
	"snipetally.example/router/internal/schedule"
	"snipetally.example/standin/network"
)

const (
	bodyLimit   = 2048
	bufferLimit = 8 * bodyLimit
	headerLimit = 4096
	readTimeout = 5 * time.Second
)

// testPlan returns a plan with one team, two engines and one service.
func testPlan() fleet.Plan {
	base := class.Class{FirstTokenTarget: time.Second, QueueTimeout: time.Second, Weight: 1, MaxQueued: 4}
	chat, other, grant := base, base, base
	chat.Name, other.Name, grant.Name = "chat", "other", "grant"
	grant.AtMostOnce, grant.Protected = true, true
	return fleet.Plan{
		ActivePreset: "day",
		Presets:      []preset.Preset{{Name: "day"}},
		Classes:      []class.Class{chat, other, grant},
		Teams: []contract.Team{{
			Name:    "team",
			Keys:    []contract.KeyHash{sha256.Sum256([]byte("key")), sha256.Sum256([]byte("next"))},
			Classes: []string{"chat", "grant"},
			Weight:  1,
		}},
		Services: []fleet.Service{{Name: "login"}},
		Servers: []backend.Server{
			{Name: "engine", Address: "127.0.0.1:1", Models: []string{"model"}, Slots: 4},
			{Name: "other", Address: "127.0.0.1:3", Models: []string{"model"}, Slots: 4},
			{Name: "login", Address: "127.0.0.1:2", Kind: backend.KindService, Service: "login", Slots: 4},
		},
	}
}

// fakeRunner is a fake caller.AttemptRunner. Each attempt sends events to the
// caller and ends with the next outcome; the last outcome repeats.
type fakeRunner struct {
	engineCalls  []attempt.EngineCall
	serviceCalls []attempt.ServiceCall
	events       []string
	kind         attempt.Kind
	outcomes     []attempt.Outcome
}

// completeOutcome is the outcome of an attempt whose response was sent in full.
var completeOutcome = attempt.Outcome{Run: attempt.RunYes, Complete: true, ResponseStarted: true}

// attempts returns the number of attempts.
func (r *fakeRunner) attempts() int {
	return len(r.engineCalls) + len(r.serviceCalls)
}

// CallEngine implements caller.AttemptRunner.
func (r *fakeRunner) CallEngine(_ context.Context, _ *link.Link, call attempt.EngineCall, sink attempt.Sink) attempt.Outcome {
	r.engineCalls = append(r.engineCalls, call)
	call.Release()
	return r.respond(sink)
}

// CallService implements caller.AttemptRunner.
func (r *fakeRunner) CallService(_ context.Context, _ *link.Link, call attempt.ServiceCall, sink attempt.Sink) attempt.Outcome {
	r.serviceCalls = append(r.serviceCalls, call)
	return r.respond(sink)
}

// respond sends the events and returns the next outcome.
func (r *fakeRunner) respond(sink attempt.Sink) attempt.Outcome {
	outcome := r.outcomes[0]
	if len(r.outcomes) > 1 {
		r.outcomes = r.outcomes[1:]
	}
	if !outcome.ResponseStarted {
		return outcome
	}
	_ = sink.Begin(attempt.Head{Status: http.StatusOK, Header: http.Header{"Content-Type": {"text/plain"}}})
	for _, part := range r.events {
		_ = sink.Event(attempt.Event{Kind: r.kind, Raw: []byte(part)})
		_ = sink.Flush()
	}
	return outcome
}

// harness is an API behind an HTTP server on in-memory connections.
type harness struct {
	runner   *fakeRunner
	recorder *record.Recorder
	store    *fleet.Store
	inflight *caller.Inflight
	metrics  metrics.Registry
	pipe     *network.PipeListener
	server   *http.Server
	stop     context.CancelFunc

	// settingsStale makes the router refuse requests because it is isolated.
	settingsStale bool
	client        *http.Client
}

func newHarness() *harness {
	h := &harness{
		runner:   &fakeRunner{events: []string{"data: one\n\n", "data: [DONE]\n\n"}, outcomes: []attempt.Outcome{completeOutcome}},
		store:    fleet.NewStore(),
		inflight: caller.NewInflight(),
		metrics:  metrics.NewRegistry(),
		pipe:     network.NewPipeListener(),
	}
	var err error
	h.recorder, err = record.New(record.Config{Table: memory.New(), VM: "router"})
	if err != nil {
		panic(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	h.stop = cancel
	go func() { _ = h.recorder.Run(ctx) }()
	h.store.Install(fleet.New(1, testPlan()))
	api := caller.New(caller.Options{
		Fleet:            h.store,
		Gate:             schedule.NewGate(),
		Inflight:         h.inflight,
		Attempts:         h.runner,
		Links:            link.NewPool(),
		RetryBudget:      attempt.NewRetryBudget(0, 0),
		Recorder:         h.recorder,
		SettingsFresh:    func() bool { return !h.settingsStale },
		Log:              zerolog.Nop(),
		Metrics:          h.metrics,
		MaxBodyBytes:     bodyLimit,
		MaxBufferedBytes: bufferLimit,
		WriteTimeout:     time.Second,
	})
	h.server = &http.Server{
		Handler:           api,
		MaxHeaderBytes:    headerLimit,
		ReadTimeout:       readTimeout,
		ReadHeaderTimeout: readTimeout,
	}
	go func() { _ = h.server.Serve(h.pipe) }()
	h.client = &http.Client{Transport: &http.Transport{DialContext: h.pipe.DialContext, DisableKeepAlives: true}}
	return h
}

func (h *harness) close() {
	h.stop()
	_ = h.server.Close()
	h.client.CloseIdleConnections()
}
