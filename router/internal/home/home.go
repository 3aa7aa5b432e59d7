// Package home chooses the router that is responsible for something, such as an engine or
// a part of prompts, among those that are alive: its home. All routers that know the same
// others choose the same one, and a router that comes or goes moves only what it is or was
// the home of.
package home

import (
	"encoding/binary"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// Of returns the home of a key: of this router and the others the one with the highest
// rendezvous score.
func Of(key uint64, own netip.AddrPort, others []netip.AddrPort) netip.AddrPort {
	best, highest := own, score(own, key)
	for _, other := range others {
		if s := score(other, key); s > highest {
			best, highest = other, s
		}
	}
	return best
}

// score returns the rendezvous score of a router for a key.
func score(router netip.AddrPort, key uint64) uint64 {
	var buffer [26]byte
	b := binary.BigEndian.AppendUint64(buffer[:0], key)
	address := router.Addr().As16()
	b = append(b, address[:]...)
	b = binary.BigEndian.AppendUint16(b, router.Port())
	return xxhash.Sum64(b)
}
