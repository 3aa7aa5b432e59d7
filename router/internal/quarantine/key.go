package quarantine

import (
	"encoding/binary"
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// hash returns a hash of the key that is the same at all routers.
func (k Key) hash() uint64 {
	b := binary.BigEndian.AppendUint64(nil, k.Part)
	b = append(b, k.Scope.Service...)
	b = append(b, 0)
	return xxhash.Sum64(append(b, k.Scope.Model...))
}

// rowKey returns the key of the row of a verdict at an epoch.
func rowKey(v *Verdict, epoch uint32) string {
	var hash uint64
	for _, part := range v.Parts {
		hash = hash*31 + Key{Scope: v.Scope, Part: part}.hash()
	}
	return fmt.Sprintf("%016x-%d", hash, epoch)
}
