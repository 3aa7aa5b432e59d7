package demand_test

import (
	"testing"

	"github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"snipetally.example/coordination/seeds"
	"snipetally.example/wire/demand"
)

func init() { seeds.Fix() }

func TestVerifyAcceptsOnlyIntactDatagramsOfKnownKeys(t *testing.T) {
	oldKey := demand.NewSigner([]string{"the old key"})
	bothKeys := demand.NewSigner([]string{"the new key", "the old key"})
	newKey := demand.NewSigner([]string{"the new key"})
	rapid.Check(t, func(rt *rapid.T) {
		g := gomega.NewWithT(rt)
		packet := &demand.Packet{
			From: rapid.StringMatching(`[a-z0-9-]{1,12}`).Draw(rt, "from"),
			AtMs: rapid.Int64().Draw(rt, "at"),
			Body: &demand.Packet_Note{Note: &demand.Note{Pools: []*demand.Pool{{Name: "pool", Slots: []uint32{1, 2}}}}},
		}
		datagram, err := oldKey.Sign(packet)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		verified, err := bothKeys.Verify(datagram)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(proto.Equal(verified, packet)).To(gomega.BeTrue())
		_, err = newKey.Verify(datagram)
		g.Expect(err).To(gomega.MatchError(demand.ErrInvalidMAC))

		bit := rapid.IntRange(0, 8*len(datagram)-1).Draw(rt, "bit")
		datagram[bit/8] ^= 1 << (bit % 8)
		_, err = bothKeys.Verify(datagram)
		g.Expect(err).To(gomega.MatchError(demand.ErrInvalidMAC))
		_, err = bothKeys.Verify(datagram[:rapid.IntRange(0, len(datagram)-1).Draw(rt, "length")])
		g.Expect(err).To(gomega.MatchError(demand.ErrInvalidMAC))
	})
}
