package relay

import (
	"context"
	"fmt"
	"time"

	"github.com/juju/errors"

	"snipetally.example/router/internal/placement"
)

const (
	// migrationDelayFraction is the fraction of the drain timeout after which
	// streams are migrated off a draining server. Short streams have ended by
	// then, and the remaining time is enough for copying the KV caches.
	migrationDelayFraction = 0.3

	// migrationTimeout bounds the copying of a run's KV cache.
	migrationTimeout = 1500 * time.Millisecond
)

// errNotMigrated means that a run could not be migrated.
const errNotMigrated = errors.ConstError("run not migrated")

// migrationResult is the result of a migration: the place where the run goes on,
// or an error. The place is never nil.
type migrationResult struct {
	*place
	err error
}

// migrateStreams migrates streams off a server that drains or is gone, after a
// delay in which short streams end. If the server accepts requests again by
// then, as its entry was gone for a moment only, its streams stay.
func (r *relay) migrateStreams(server Server) {
	index := r.index.Load()
	if index == nil || r.options.migrator == nil {
		return
	}
	service, ok := index.servicesByName[server.Service]
	if !ok || !service.SupportsMigration {
		return
	}
	drain := r.bounds.Load().DrainTimeout
	drainEnd := time.Now().Add(drain)
	time.AfterFunc(time.Duration(migrationDelayFraction*float64(drain)), func() {
		if r.acceptsAgain(server) {
			return
		}
		for p, state := range r.streams.startedOn(server.ID) {
			if !p.endsBefore(drainEnd, state, service.TokensPerEvent) {
				go p.migrateFrom(server)
			}
		}
	})
}

// acceptsAgain reports whether a server that was leaving is listed as accepting
// requests in the same lifetime.
func (r *relay) acceptsAgain(server Server) bool {
	current, ok := (*r.servers.Load())[server.ID]
	return ok && !current.Draining && current.sameLifetime(server)
}

// endsBefore reports whether a stream is expected to end before a time at its
// pace so far. It returns false for a stream that is already longer than
// expected, as the rest of it can't be estimated.
func (p *proxiedRequest) endsBefore(limit time.Time, state streamState, tokensPerEvent int) bool {
	expected := p.placementRequest.OutputTokens / max(tokensPerEvent, 1)
	if expected <= state.events {
		return false
	}
	pace := time.Since(state.firstEventAt) / time.Duration(state.events)
	return time.Now().Add(pace * time.Duration(expected-state.events)).Before(limit)
}

// migrateFrom migrates the stream from a server to another one. It runs
// concurrently with the goroutine that serves the request, which learns the
// outcome when the stream at the old server is cut off. The line that it logs
// holds the IDs of the old and the new server in the keys from and to; to is
// empty if there is no other server.
func (p *proxiedRequest) migrateFrom(server Server) {
	r := p.relay
	if !r.retryBudget.Take(time.Now(), p.service) {
		return
	}
	results := r.streams.beginMigration(p, server.ID)
	if results == nil {
		return
	}
	ctx, cancel := context.WithTimeout(p.request.Context(), migrationTimeout)
	defer cancel()
	migration := p.migrate(ctx, server)
	if migration.err != nil && migration.kvCopy.Handle == "" {
		r.streams.cancelMigration(p)
	}
	results <- migration
	r.options.log.StateChange().Str("request", p.info.AttemptID).Str("from", server.ID).Str("to", migration.choice.Server).
		AnErr("error", migration.err).Msg("stream migration ended")
}

// migrate picks another server and has the KV cache of the run copied there.
func (p *proxiedRequest) migrate(ctx context.Context, server Server) migrationResult {
	r := p.relay
	reservation, choice, err := r.balancer.Pick(time.Now(), p.placementRequest, []string{server.ID})
	if err != nil {
		return migrationResult{place: &place{}, err: fmt.Errorf("%w: %w", errNotMigrated, err)}
	}
	migration := migrationResult{place: p.newPlace(reservation, choice)}
	target, ok := (*r.servers.Load())[choice.Server]
	if !ok {
		reservation.Done(time.Now(), placement.Canceled)
		migration.err = fmt.Errorf("%w: server %s gone", errNotMigrated, choice.Server)
		return migration
	}
	migration.kvCopy, migration.err = r.options.migrator.Migrate(ctx, MigrationRequest{
		AttemptID: p.info.AttemptID, Source: server.Address, Destination: target.Address,
	})
	if migration.err != nil {
		reservation.Done(time.Now(), placement.Canceled)
	}
	return migration
}

// awaitMigration returns the place where a run goes on that was migrated. It
// returns nil if none was, or if the migration failed.
func (p *proxiedRequest) awaitMigration(ctx context.Context) *place {
	results := p.relay.streams.takeMigration(p)
	if results == nil {
		return nil
	}
	select {
	case migration := <-results:
		if migration.err != nil {
			return nil
		}
		return migration.place
	case <-ctx.Done():
		go discardMigration(results)
		return nil
	}
}

// discardMigration waits for a migration whose request has ended and releases
// its reservation at the new server.
func discardMigration(results chan migrationResult) {
	if migration := <-results; migration.err == nil {
		migration.reservation.Done(time.Now(), placement.Canceled)
	}
}

// dropMigration discards a migration that is still in progress when the request
// ends.
func (p *proxiedRequest) dropMigration() {
	if results := p.relay.streams.takeMigration(p); results != nil {
		go discardMigration(results)
	}
}
