package record_test

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	"snipetally.example/coordination/record"
	"snipetally.example/coordination/seeds"
	wire "snipetally.example/wire/record"
)

func init() { seeds.Fix() }

// fakeHandler records requests and returns the configured outcome and error.
type fakeHandler struct {
	entry   record.Entry
	claim   record.Claim
	outcome record.Outcome
	err     error
}

func (h *fakeHandler) Commit(_ context.Context, entry record.Entry) record.CommitResult {
	h.entry = entry
	return record.CommitConflict
}

func (h *fakeHandler) Await(context.Context, string, string) (record.Outcome, error) {
	return h.outcome, h.err
}

func (h *fakeHandler) Claim(_ context.Context, claim record.Claim) (record.Claim, error) {
	h.claim = claim
	return claim, nil
}

// newTestClient returns a client of a server with the handler. It resolves only
// the VM "there".
func newTestClient(t *testing.T, h *fakeHandler) *wire.Client {
	server := httptest.NewServer(wire.NewHandler(h))
	t.Cleanup(server.Close)
	address := strings.TrimPrefix(server.URL, "http://")
	return wire.NewClient(server.Client().Transport, "http", func(vm string) (string, bool) {
		return address, vm == "there"
	})
}

func TestCallsTransmitAllFields(t *testing.T) {
	h := &fakeHandler{}
	client := newTestClient(t, h)
	rapid.Check(t, func(rt *rapid.T) {
		g := gomega.NewWithT(rt)
		text := rapid.StringMatching(`[a-z/]{0,9}`)
		entry := record.Entry{
			Partner: text.Draw(rt, "partner"), Row: text.Draw(rt, "row"), Slot: text.Draw(rt, "slot"),
			Value: rapid.SliceOfN(rapid.Byte(), 1, 9).Draw(rt, "value"), Version: rapid.Uint64().Draw(rt, "version"),
			Replaces: text.Draw(rt, "replaces"), Attempt: text.Draw(rt, "attempt"),
		}
		result, err := client.Commit(t.Context(), "there", entry)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(result).To(gomega.Equal(record.CommitConflict))
		g.Expect(h.entry).To(gomega.Equal(entry))

		claim := record.Claim{Location: entry.Row, VM: entry.Slot, Incarnation: entry.Partner, Attempt: entry.Attempt, Replaces: entry.Replaces,
			Recorded: rapid.Bool().Draw(rt, "recorded"), Tentative: rapid.Bool().Draw(rt, "tentative")}
		copy(claim.Fingerprint[:], entry.Value)
		current, err := client.Claim(t.Context(), "there", claim)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(current).To(gomega.Equal(claim))

		h.outcome = record.Outcome{State: record.OutcomeDone, Omitted: rapid.Bool().Draw(rt, "omitted"), Response: &record.Response{
			Status: 201, Header: []record.HeaderField{{Name: "A", Value: entry.Row}}, Body: entry.Value,
		}}
		outcome, err := client.Await(t.Context(), "there", "i", "a")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(outcome).To(gomega.Equal(h.outcome))
	})
}

func TestAwaitReportsUnknownAttemptOrVM(t *testing.T) {
	g := gomega.NewWithT(t)
	client := newTestClient(t, &fakeHandler{err: record.ErrUnknownAttempt})
	_, err := client.Await(t.Context(), "there", "i", "a")
	g.Expect(err).To(gomega.MatchError(record.ErrUnknownAttempt))
	_, err = client.Await(t.Context(), "elsewhere", "i", "a")
	g.Expect(err).To(gomega.MatchError(record.ErrUnknownAttempt))
}
