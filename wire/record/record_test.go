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

// book is a fake that keeps what it was asked and answers with what it is told.
type book struct {
	entry   record.Entry
	claim   record.Claim
	outcome record.Outcome
	err     error
}

func (b *book) Commit(_ context.Context, entry record.Entry) record.CommitResult {
	b.entry = entry
	return record.CommitConflict
}

func (b *book) Await(context.Context, string, string) (record.Outcome, error) {
	return b.outcome, b.err
}

func (b *book) Claim(_ context.Context, claim record.Claim) (record.Claim, error) {
	b.claim = claim
	return claim, nil
}

func connect(t *testing.T, b *book) *wire.Client {
	server := httptest.NewServer(wire.NewHandler(b))
	t.Cleanup(server.Close)
	address := strings.TrimPrefix(server.URL, "http://")
	return wire.NewClient(server.Client().Transport, "http", func(vm string) (string, bool) {
		return address, vm == "there"
	})
}

func TestMessagesArriveAsTheyWereSent(t *testing.T) {
	b := &book{}
	peers := connect(t, b)
	rapid.Check(t, func(rt *rapid.T) {
		g := gomega.NewWithT(rt)
		text := rapid.StringMatching(`[a-z/]{0,9}`)
		entry := record.Entry{
			Partner: text.Draw(rt, "partner"), Row: text.Draw(rt, "row"), Slot: text.Draw(rt, "slot"),
			Value: rapid.SliceOfN(rapid.Byte(), 1, 9).Draw(rt, "value"), Version: rapid.Uint64().Draw(rt, "version"),
			Replaces: text.Draw(rt, "over"), Attempt: text.Draw(rt, "attempt"),
		}
		verdict, err := peers.Commit(t.Context(), "there", entry)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(verdict).To(gomega.Equal(record.CommitConflict))
		g.Expect(b.entry).To(gomega.Equal(entry))

		claim := record.Claim{Location: entry.Row, VM: entry.Slot, Incarnation: entry.Partner, Attempt: entry.Attempt, Replaces: entry.Replaces,
			Recorded: rapid.Bool().Draw(rt, "recorded"), Tentative: rapid.Bool().Draw(rt, "tentative")}
		copy(claim.Fingerprint[:], entry.Value)
		held, err := peers.Claim(t.Context(), "there", claim)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(held).To(gomega.Equal(claim))

		b.outcome = record.Outcome{State: record.OutcomeDone, Omitted: rapid.Bool().Draw(rt, "omitted"), Response: &record.Response{
			Status: 201, Header: []record.HeaderField{{Name: "A", Value: entry.Row}}, Body: entry.Value,
		}}
		outcome, err := peers.Await(t.Context(), "there", "i", "a")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(outcome).To(gomega.Equal(b.outcome))
	})
}

func TestUnknownAttemptOrVMIsGone(t *testing.T) {
	g := gomega.NewWithT(t)
	peers := connect(t, &book{err: record.ErrUnknownAttempt})
	_, err := peers.Await(t.Context(), "there", "i", "a")
	g.Expect(err).To(gomega.MatchError(record.ErrUnknownAttempt))
	_, err = peers.Await(t.Context(), "elsewhere", "i", "a")
	g.Expect(err).To(gomega.MatchError(record.ErrUnknownAttempt))
}
