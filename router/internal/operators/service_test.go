package operators_test

import (
	"context"
	"crypto/sha256"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
	"github.com/rs/zerolog"

	"snipetally.example/coordination/revision"
	"snipetally.example/coordination/spread"
	"snipetally.example/router/internal/contract"
	"snipetally.example/router/internal/operators"
	"snipetally.example/router/internal/settings"
	wire "snipetally.example/wire/operators"
)

// fakeReplicator is a replicator that accepts changes from a given time on.
type fakeReplicator struct {
	snapshot *revision.Snapshot
	acceptAt time.Time
}

func (r *fakeReplicator) Snapshot() *revision.Snapshot { return r.snapshot }
func (r *fakeReplicator) Report() spread.Report        { return spread.Report{} }
func (r *fakeReplicator) Refresh(context.Context)      {}
func (r *fakeReplicator) AcceptsChanges() bool         { return !time.Now().Before(r.acceptAt) }

// countingWriter counts commits.
type countingWriter struct {
	commits int
}

func (w *countingWriter) Commit(context.Context, revision.Command) (revision.Outcome, error) {
	w.commits++
	return revision.Outcome{Revision: 2}, nil
}

// handlerTransport calls a handler in process instead of over the network.
type handlerTransport struct {
	handler http.Handler
}

// RoundTrip implements http.RoundTripper.
func (t handlerTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	r.Header.Set("Authorization", "Bearer key")
	recorder := httptest.NewRecorder()
	t.handler.ServeHTTP(recorder, r)
	return recorder.Result(), nil
}

// forcePreset puts a preset in force through a router that accepts changes only
// after the given time. It returns the number of commits.
func forcePreset(t *testing.T, snapshot *revision.Snapshot, after time.Duration) (int, error) {
	w := &countingWriter{}
	api := operators.New(operators.Options{
		Accounts: []settings.Account{{
			Name: "operator", Keys: []contract.KeyHash{sha256.Sum256([]byte("key"))},
		}},
		Replicator: &fakeReplicator{snapshot: snapshot, acceptAt: time.Now().Add(after)},
		Writer:     w,
		Log:        zerolog.Nop(),
	})
	client := wire.NewOperatorsProtobufClient("http://router", &http.Client{Transport: handlerTransport{api}})
	_, err := client.Apply(t.Context(), &wire.ApplyRequest{
		Token: "token", Edits: []*wire.Edit{{Action: wire.Action_ACTION_FORCE, Name: "peak"}},
	})
	return w.commits, err
}

func TestChangeWaitsUntilRouterAcceptsChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		commits, err := forcePreset(t, parseExample(g), time.Second)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(commits).To(gomega.Equal(1))
	})
}

func TestIsolatedRouterRefusesChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		commits, err := forcePreset(t, parseExample(g), time.Hour)
		g.Expect(err).To(gomega.HaveOccurred())
		g.Expect(err.Error()).To(gomega.ContainSubstring("unavailable"))
		g.Expect(commits).To(gomega.BeZero())
	})
}
