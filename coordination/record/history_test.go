package record_test

import (
	"context"
	"crypto/sha256"
	"fmt"
	"sync"
	"testing/synctest"
	"time"

	"github.com/juju/errors"

	"snipetally.example/coordination/record"
)

// request is one request of a caller.
type request struct {
	at     time.Duration
	router int
	key    string
	body   string
	outage record.OutagePolicy
}

// run is what a caller was told about its request.
type run string

const (
	runYes     run = "yes"
	runNo      run = "no"
	runUnknown run = "unknown"

	// runLost means that the caller was told nothing: its router is paused
	// or crashed.
	runLost run = "lost"
)

// told is the end of a request.
type told struct {
	request
	run     run
	kind    record.Kind
	answer  string
	attempt string

	// late says that a router that was neither paused nor crashed exceeded
	// the caller's deadline.
	late bool
}

// serve is a router's handling of one request.
func (r *router) serve(ctx context.Context, q request) told {
	t := told{request: q, run: runUnknown}
	d, err := r.book.Begin(ctx, record.Call{
		Team:        "team",
		Key:         q.key,
		Fingerprint: sha256.Sum256([]byte(q.body)),
		Target:      "server",
		Outage:      q.outage,
	})
	if err != nil {
		t.run = runNo
		return t
	}
	if d.Kind == record.Join {
		d = d.Join.Wait(ctx)
	}
	t.kind = d.Kind
	switch d.Kind {
	case record.Run:
		return r.attempt(ctx, d.Attempt, t)
	case record.Replay:
		t.run = runYes
		t.answer = string(d.Response.Body)
	case record.Mismatch, record.Unavailable:
		t.run = runNo
	}
	return t
}

// attempt dispatches a granted attempt.
func (r *router) attempt(ctx context.Context, a *record.Attempt, t told) told {
	t.attempt = a.ID()
	if err := a.Dispatch(ctx); err != nil {
		t.run = runNo
		return t
	}
	r.observe(ctx, stepSend)
	if !r.alive() {
		return t
	}
	// The send is not held back by the context, as after a pause between the
	// check and the first byte.
	answer, err := r.cluster.server.run(ctx, a.ID(), t.key, t.body)
	r.observe(ctx, stepAnswered)
	switch {
	case err == nil:
		_ = a.Finish(ctx, answer)
		t.run = runYes
		t.answer = string(answer.Body)
	case errors.Is(err, errConnect):
		_ = a.NotRun(ctx)
		t.run = runNo
	default:
		_ = a.Lost(ctx)
	}
	return t
}

// ask sends a request and returns what the caller was told by its deadline.
func (c *cluster) ask(q request) told {
	r := c.router(q.router)
	if !r.alive() {
		return told{request: q, run: runLost}
	}
	ctx, cancel := context.WithTimeout(c.ctx, callerLimit)
	defer cancel()
	done := make(chan told, 1)
	began := time.Now()
	c.wait.Go(func() {
		r.gate()
		t := r.serve(ctx, q)
		r.gate()
		done <- t
	})
	select {
	case t := <-done:
		return t
	case <-r.dead:
	case <-time.After(callerLimit + 10*time.Millisecond):
	}
	return told{request: q, run: runLost, late: !r.held(began)}
}

// play runs the requests at their times and returns what was told.
func (c *cluster) play(requests []request) []told {
	history := make([]told, len(requests))
	var callers sync.WaitGroup
	for i, q := range requests {
		callers.Go(func() {
			time.Sleep(q.at)
			history[i] = c.ask(q)
		})
	}
	callers.Wait()
	return history
}

// audit lets everything settle and asks for each key once more through a
// router that never failed. It returns all that was told.
func (c *cluster) audit(history []told) []told {
	time.Sleep(20 * time.Second)
	// A pause that began just before ends before the last requests.
	c.calm()
	time.Sleep(pauses[pauseLong])
	c.start("fresh", len(c.members()))
	seen := make(map[string]bool)
	for _, t := range history {
		if seen[t.key] || t.key == "" {
			continue
		}
		seen[t.key] = true
		history = append(history, c.ask(request{router: len(c.members()) - 1, key: t.key, body: t.body}))
	}
	time.Sleep(time.Second)
	synctest.Wait()
	return history
}

// check returns the first violation in a history, or an empty string.
func (c *cluster) check(history []told) string {
	allNo := make(map[string]bool)
	for _, t := range history {
		if t.run != runNo {
			allNo[t.key] = false
		} else if _, ok := allNo[t.key]; !ok {
			allNo[t.key] = true
		}
	}
	for _, t := range history {
		runs, bodyRan := c.server.ranKey(t.key, t.body)
		switch {
		case t.late:
			return fmt.Sprintf("a request of key %s was told nothing in time: %+v", t.key, history)
		case len(runs) > 1:
			return fmt.Sprintf("key %s ran %d times: %+v", t.key, len(runs), history)
		case t.run == runNo && t.attempt != "" && c.server.ran(t.attempt):
			return fmt.Sprintf("attempt %s ran although told no: %+v", t.attempt, history)
		case allNo[t.key] && len(runs) > 0:
			return fmt.Sprintf("key %s ran although all were told no: %+v", t.key, history)
		case t.kind == record.Mismatch && bodyRan:
			return fmt.Sprintf("a mismatched request of key %s ran: %+v", t.key, history)
		case t.run == runYes && (len(runs) == 0 || t.answer != runs[0]):
			return fmt.Sprintf("answer %q is not that of the run %v: %+v", t.answer, runs, history)
		case t.run == runYes && !bodyRan:
			return fmt.Sprintf("key %s answered another request: %+v", t.key, history)
		}
	}
	return ""
}

// checkSettled returns a violation if a key is not settled at the end, though
// the backend server tells about attempts.
func (c *cluster) checkSettled(history []told, requests int) string {
	for _, t := range history[requests:] {
		if t.run != runYes && t.kind != record.Mismatch {
			return fmt.Sprintf("key %s is not settled at the end: %+v", t.key, history)
		}
	}
	return ""
}
