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

// reported is what the router reported to a caller about its request.
type reported string

const (
	reportedRun     reported = "yes"
	reportedNotRun  reported = "no"
	reportedUnknown reported = "unknown"

	// reportedNothing means that the caller got no response, because its router
	// is paused or crashed.
	reportedNothing reported = "lost"
)

// reply is a request and what its caller got.
type reply struct {
	request
	reported     reported
	kind         record.Kind
	responseBody string
	attempt      string

	// late means that a router that was neither paused nor crashed exceeded the
	// caller's deadline.
	late bool
}

// handle handles one request at the router.
func (r *router) handle(ctx context.Context, req request) reply {
	res := reply{request: req, reported: reportedUnknown}
	d, err := r.recorder.Begin(ctx, record.Call{
		Team:        "team",
		Key:         req.key,
		Fingerprint: sha256.Sum256([]byte(req.body)),
		Target:      "server",
		Outage:      req.outage,
	})
	if err != nil {
		res.reported = reportedNotRun
		return res
	}
	if d.Kind == record.Join {
		d = d.Join.Wait(ctx)
	}
	res.kind = d.Kind
	switch d.Kind {
	case record.Run:
		return r.dispatch(ctx, d.Attempt, res)
	case record.Replay:
		res.reported = reportedRun
		res.responseBody = string(d.Response.Body)
	case record.Mismatch, record.Unavailable:
		res.reported = reportedNotRun
	}
	return res
}

// dispatch dispatches a granted attempt.
func (r *router) dispatch(ctx context.Context, a *record.Attempt, res reply) reply {
	res.attempt = a.ID()
	if err := a.Dispatch(ctx); err != nil {
		res.reported = reportedNotRun
		return res
	}
	r.observe(ctx, stepSend)
	if !r.alive() {
		return res
	}
	// The request is sent even if the context has ended, as happens after a
	// pause between the check and the first byte.
	response, err := r.cluster.server.run(ctx, a.ID(), res.key, res.body)
	r.observe(ctx, stepResponded)
	switch {
	case err == nil:
		_ = a.Finish(ctx, response)
		res.reported = reportedRun
		res.responseBody = string(response.Body)
	case errors.Is(err, errConnectionRefused):
		_ = a.NotRun(ctx)
		res.reported = reportedNotRun
	default:
		_ = a.Lost(ctx)
	}
	return res
}

// send sends a request and returns what the caller got by its deadline.
func (c *cluster) send(req request) reply {
	r := c.router(req.router)
	if !r.alive() {
		return reply{request: req, reported: reportedNothing}
	}
	ctx, cancel := context.WithTimeout(c.ctx, callerTimeout)
	defer cancel()
	done := make(chan reply, 1)
	began := time.Now()
	c.running.Go(func() {
		r.blockWhilePaused()
		rep := r.handle(ctx, req)
		r.blockWhilePaused()
		done <- rep
	})
	select {
	case rep := <-done:
		return rep
	case <-r.dead:
	case <-time.After(callerTimeout + 10*time.Millisecond):
	}
	return reply{request: req, reported: reportedNothing, late: !r.pausedSince(began)}
}

// sendAll sends the requests at their times and returns the responses.
func (c *cluster) sendAll(requests []request) []reply {
	history := make([]reply, len(requests))
	var callers sync.WaitGroup
	for i, req := range requests {
		callers.Go(func() {
			time.Sleep(req.at)
			history[i] = c.send(req)
		})
	}
	callers.Wait()
	return history
}

// retryAll waits until all attempts are settled and sends a request for each
// key once more, through a new router without faults. It returns the history
// with the new responses appended.
func (c *cluster) retryAll(history []reply) []reply {
	time.Sleep(20 * time.Second)
	// A pause that has just begun ends before the last requests are sent.
	c.clearFaults()
	time.Sleep(pauseLengths[pauseLong])
	c.startRouter("fresh", len(c.vms()))
	seen := make(map[string]bool)
	for _, rep := range history {
		if seen[rep.key] || rep.key == "" {
			continue
		}
		seen[rep.key] = true
		history = append(history, c.send(request{router: len(c.vms()) - 1, key: rep.key, body: rep.body}))
	}
	time.Sleep(time.Second)
	synctest.Wait()
	return history
}

// check returns a description of the first violation in a history, or an empty
// string.
func (c *cluster) check(history []reply) string {
	allNotRun := make(map[string]bool)
	for _, rep := range history {
		if rep.reported != reportedNotRun {
			allNotRun[rep.key] = false
		} else if _, ok := allNotRun[rep.key]; !ok {
			allNotRun[rep.key] = true
		}
	}
	for _, rep := range history {
		runs, bodyRan := c.server.runsOf(rep.key, rep.body)
		switch {
		case rep.late:
			return fmt.Sprintf("a request of key %s got no response in time: %+v", rep.key, history)
		case len(runs) > 1:
			return fmt.Sprintf("key %s ran %d times: %+v", rep.key, len(runs), history)
		case rep.reported == reportedNotRun && rep.attempt != "" && c.server.ran(rep.attempt):
			return fmt.Sprintf("attempt %s ran although it was reported as not run: %+v", rep.attempt, history)
		case allNotRun[rep.key] && len(runs) > 0:
			return fmt.Sprintf("key %s ran although all its requests were reported as not run: %+v", rep.key, history)
		case rep.kind == record.Mismatch && bodyRan:
			return fmt.Sprintf("a mismatched request of key %s ran: %+v", rep.key, history)
		case rep.reported == reportedRun && (len(runs) == 0 || rep.responseBody != runs[0]):
			return fmt.Sprintf("response %q is not that of the run %v: %+v", rep.responseBody, runs, history)
		case rep.reported == reportedRun && !bodyRan:
			return fmt.Sprintf("key %s got the response of a different request: %+v", rep.key, history)
		}
	}
	return ""
}

// checkAllDecided returns a violation if a key is still undecided in the last
// requests, although the backend server can be probed.
func (c *cluster) checkAllDecided(history []reply, requests int) string {
	for _, rep := range history[requests:] {
		if rep.reported != reportedRun && rep.kind != record.Mismatch {
			return fmt.Sprintf("key %s is undecided at the end: %+v", rep.key, history)
		}
	}
	return ""
}
