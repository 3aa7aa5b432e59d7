package revision_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"

	"github.com/juju/errors"
	"github.com/onsi/gomega"

	"snipetally.example/coordination/revision"
	"snipetally.example/coordination/table/memory"
)

func TestFailedCheckDoesNotAffectOtherCommandsInBatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		ctx, cancel := context.WithCancel(t.Context())
		store := revision.NewStore(memory.New(), revision.Config{})
		var group sync.WaitGroup
		group.Go(func() { _ = store.Run(ctx) })
		refusal := errors.New("refused")
		const commands, limit = 100, 30
		failures := make([]error, commands)
		var writers sync.WaitGroup
		for i := range commands {
			writers.Go(func() {
				_, failures[i] = store.Commit(ctx, revision.Command{
					Author:  "author",
					Token:   fmt.Sprint(i),
					Changes: []revision.Change{{Key: fmt.Sprint(i), Value: []byte("v")}},
					Check: func(s *revision.Snapshot) error {
						if len(s.Documents) > limit {
							return refusal
						}
						return nil
					},
				})
			})
		}
		writers.Wait()
		refused := 0
		for _, err := range failures {
			if err != nil {
				g.Expect(err).To(gomega.MatchError(refusal))
				refused++
			}
		}
		g.Expect(refused).To(gomega.Equal(commands - limit))
		snapshot, err := store.Load(ctx)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(snapshot.Revision).To(gomega.Equal(uint64(limit)))
		cancel()
		group.Wait()
	})
}
