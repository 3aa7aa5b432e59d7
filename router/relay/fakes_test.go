package relay_test

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"

	"snipetally.example/coordination/feed"
	"snipetally.example/router/relay"
)

// Headers of the test codec.
const (
	attemptHeader     = "Attempt"
	timeoutHeader     = "Timeout"
	keyHeader         = "Key"
	instanceHeader    = "Instance"
	teamHeader        = "Team"
	signedHeader      = "Signed"
	notExecutedHeader = "Not-Executed"
	lastEventHeader   = "Last-Event-Id"
	kvCopyHeader      = "Kv-Copy"
	partsHeader       = "Parts"
	limitHeader       = "Limit"
	leavingHeader     = "Leaving"
	brittleHeader     = "Brittle"
	promptHeader      = "Prompt"
	outputHeader      = "Output"
)

// codec maps the headers above.
type codec struct{}

func (codec) ParseRequest(h http.Header) (relay.RequestInfo, error) {
	ms, err := strconv.Atoi(h.Get(timeoutHeader))
	if err != nil {
		return relay.RequestInfo{}, fmt.Errorf("parse timeout: %w", err)
	}
	info := relay.RequestInfo{
		AttemptID: h.Get(attemptHeader), APIKey: h.Get(keyHeader), Timeout: time.Duration(ms) * time.Millisecond,
	}
	if tokens, err := strconv.Atoi(h.Get(promptHeader)); err == nil {
		info.PromptTokens = tokens
	}
	if tokens, err := strconv.Atoi(h.Get(outputHeader)); err == nil {
		info.MaxOutputTokens = tokens
	}
	for text := range strings.SplitSeq(h.Get(partsHeader), ",") {
		if id, err := strconv.ParseUint(text, 16, 64); err == nil {
			info.Parts = append(info.Parts, relay.PromptPart{ID: id, Tokens: 10})
		}
	}
	return info, nil
}

func (codec) ForwardHeader(h http.Header, info relay.ForwardInfo) http.Header {
	h = h.Clone()
	h.Del(keyHeader)
	h.Set(instanceHeader, info.InstanceID)
	h.Set(teamHeader, info.Team)
	h.Set(timeoutHeader, strconv.Itoa(int(info.Timeout.Milliseconds())))
	if info.LastEventID != "" {
		h.Set(lastEventHeader, info.LastEventID)
	}
	if info.KVCopy.Handle != "" {
		h.Set(kvCopyHeader, info.KVCopy.Source+"/"+info.KVCopy.Handle)
	}
	return h
}

func (codec) ParseResponse(status int, h http.Header) relay.ResponseInfo {
	rate, err := strconv.ParseFloat(h.Get(limitHeader), 64)
	tolerated, brittleErr := strconv.Atoi(h.Get(brittleHeader))
	return relay.ResponseInfo{
		AttemptID: h.Get(attemptHeader), Signed: h.Get(signedHeader) != "",
		NotExecuted: h.Get(notExecutedHeader) != "" || status == http.StatusMisdirectedRequest,
		Leaving:     h.Get(leavingHeader) != "",
		Limit:       relay.ServerLimit{Named: err == nil, PerSecond: rate},
		Brittle:     relay.ServerBrittleness{Named: brittleErr == nil, Tolerated: tolerated},
	}
}

// migratorFunc implements relay.Migrator with a function.
type migratorFunc func(relay.MigrationRequest) (relay.KVCopy, error)

func (m migratorFunc) Copy(context.Context, relay.MigrationRequest) error { return nil }

func (m migratorFunc) Migrate(_ context.Context, request relay.MigrationRequest) (relay.KVCopy, error) {
	return m(request)
}

// fakeTable is a table whose rows change only when set, and which can be made
// unavailable.
type fakeTable[T any] struct {
	mu          sync.Mutex
	rows        []feed.Change[T]
	revision    int64
	era         int64
	eras        *feed.Eras
	unavailable bool
	clock       feed.Clock
}

const errUnavailable = errors.ConstError("table unavailable")

func (f *fakeTable[T]) set(rows ...feed.Change[T]) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.revision++
	f.rows = rows
	for i := range f.rows {
		f.rows[i].Revision = f.revision
	}
}

// restore begins a new era with rows.
func (f *fakeTable[T]) restore(rows ...feed.Change[T]) {
	f.mu.Lock()
	f.era++
	f.mu.Unlock()
	f.set(rows...)
}

func (f *fakeTable[T]) setUnavailable(unavailable bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unavailable = unavailable
}

func (f *fakeTable[T]) Read(context.Context, feed.Received) (feed.Response[T], error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.unavailable {
		return feed.Response[T]{}, errUnavailable
	}
	if f.eras != nil {
		if err := f.eras.Admit(f.era); err != nil {
			return feed.Response[T]{}, err
		}
	}
	return feed.Response[T]{Changes: f.rows, Revision: f.revision, Clock: f.clock(), Era: f.era}, nil
}

func (f *fakeTable[T]) Watch(ctx context.Context, after int64, _ time.Duration, received feed.Received) (feed.Response[T], error) {
	pause := time.NewTimer(5 * time.Millisecond)
	defer pause.Stop()
	select {
	case <-ctx.Done():
		return feed.Response[T]{}, ctx.Err()
	case <-pause.C:
	}
	response, err := f.Read(ctx, received)
	if err == nil && response.Revision == after {
		response.Changes = nil
	}
	return response, err
}
