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

// part is a router that learns at some time that it may take changes.
type part struct {
	snapshot *revision.Snapshot
	from     time.Time
}

func (p *part) Snapshot() *revision.Snapshot { return p.snapshot }
func (p *part) Confirmed() spread.Report     { return spread.Report{} }
func (p *part) Learn(context.Context)        {}
func (p *part) Accepts() bool                { return !time.Now().Before(p.from) }

// writer counts what is written.
type writer struct {
	written int
}

func (w *writer) Commit(context.Context, revision.Command) (revision.Outcome, error) {
	w.written++
	return revision.Outcome{Revision: 2}, nil
}

// direct calls a handler without a network.
type direct struct {
	handler http.Handler
}

// RoundTrip implements http.RoundTripper.
func (d direct) RoundTrip(r *http.Request) (*http.Response, error) {
	r.Header.Set("Authorization", "Bearer key")
	recorder := httptest.NewRecorder()
	d.handler.ServeHTTP(recorder, r)
	return recorder.Result(), nil
}

// change puts a preset in force by a router that may take changes after a time,
// and returns how often something was written.
func change(t *testing.T, snapshot *revision.Snapshot, after time.Duration) (int, error) {
	w := &writer{}
	api := operators.New(operators.Options{
		Accounts: []settings.Account{{
			Name: "operator", Keys: []contract.KeyHash{sha256.Sum256([]byte("key"))},
		}},
		Replicator: &part{snapshot: snapshot, from: time.Now().Add(after)},
		Writer:     w,
		Log:        zerolog.Nop(),
	})
	client := wire.NewOperatorsProtobufClient("http://router", &http.Client{Transport: direct{api}})
	_, err := client.Apply(t.Context(), &wire.ApplyRequest{
		Token: "token", Edits: []*wire.Edit{{Action: wire.Action_ACTION_FORCE, Name: "peak"}},
	})
	return w.written, err
}

func TestRouterThatDoesNotKnowYetTakesAChangeOnceItKnows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		written, err := change(t, documents(g), time.Second)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(written).To(gomega.Equal(1))
	})
}

func TestRouterThatIsCutOffRefusesChanges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		written, err := change(t, documents(g), time.Hour)
		g.Expect(err).To(gomega.HaveOccurred())
		g.Expect(err.Error()).To(gomega.ContainSubstring("unavailable"))
		g.Expect(written).To(gomega.BeZero())
	})
}
