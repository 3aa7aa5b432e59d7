package daemon

import (
	"context"
	"fmt"
	"time"

	"snipetally.example/coordination/revision"
	"snipetally.example/router/internal/document"
	"snipetally.example/router/internal/operators"
	"snipetally.example/router/internal/settings"
)

const (
	seedRetryInterval = 500 * time.Millisecond
	seedKeyPrefix     = "seed/"
)

// runSeed writes the plan of the settings file to the table, unless a seed of that
// name was written before. Existing documents are left unchanged. It retries until
// it is certain that the seed has been written, and then waits for ctx.
func (r *Router) runSeed(ctx context.Context) error {
	for r.settings.SeedName != "" {
		err := r.writeSeed(ctx)
		if err == nil {
			r.cluster.replicator.Refresh(ctx)
			break
		}
		r.log.Warn().Err(err).Msg("failed to write seed, retrying")
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(seedRetryInterval):
		}
	}
	<-ctx.Done()
	return nil
}

// writeSeed makes one attempt to write the seed.
func (r *Router) writeSeed(ctx context.Context) error {
	current, err := r.platform.revisions.Load(ctx)
	if err != nil {
		return fmt.Errorf("load revisions: %w", err)
	}
	marker := seedKeyPrefix + r.settings.SeedName
	if _, ok := current.Documents[marker]; ok {
		return nil
	}
	changes, err := seedChanges(r.settings, current, marker)
	if err != nil {
		return fmt.Errorf("encode seed: %w", err)
	}
	result, err := r.platform.revisions.Commit(ctx, revision.Command{
		Author:  r.settings.VM.Name,
		Token:   marker,
		Base:    current.Revision,
		Changes: changes,
		Check:   operators.Validate,
	})
	if err != nil {
		return fmt.Errorf("write seed: %w", err)
	}
	if result.Repeated {
		return nil
	}
	r.log.Info().Str("seed", r.settings.SeedName).Uint64("revision", result.Revision).Msg("seed written")
	return nil
}

// seedChanges returns the changes that write the seed's marker and those of its
// documents that the snapshot lacks.
func seedChanges(s *settings.Settings, current *revision.Snapshot, marker string) ([]revision.Change, error) {
	all, err := document.Encode(s.Seed)
	if err != nil {
		return nil, fmt.Errorf("encode plan: %w", err)
	}
	changes := []revision.Change{{Key: marker, Value: []byte(s.VM.Name)}}
	for _, change := range all {
		if _, ok := current.Documents[change.Key]; !ok {
			changes = append(changes, change)
		}
	}
	return changes, nil
}
