package lease

import (
	"fmt"
	"time"

	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	"snipetally.example/coordination/lease/internal/rows"
)

// ErrCorrupt means that the row of a lease can't be decoded.
const ErrCorrupt = errors.ConstError("malformed lease row")

// row is the decoded row of a lease and its version in the table. An empty
// holder means that the lease is free. The nonce is new with each write, so
// that a writer whose response was lost recognizes its own row.
type row struct {
	holder   string
	fence    uint64
	duration time.Duration
	nonce    string
	version  uint64
}

// encode returns the stored form of a row.
func encode(r row) ([]byte, error) {
	data, err := proto.Marshal(&rows.Lease{
		Holder: r.holder, Fence: r.fence, Duration: int64(r.duration), Nonce: r.nonce,
	})
	if err != nil {
		return nil, fmt.Errorf("encode lease: %w", err)
	}
	return data, nil
}

// decode reads the stored form of a row. A row that does not exist decodes to
// the zero row.
func decode(data []byte, version uint64) (row, error) {
	var message rows.Lease
	if err := proto.Unmarshal(data, &message); err != nil {
		return row{}, fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	return row{
		holder:   message.GetHolder(),
		fence:    message.GetFence(),
		duration: time.Duration(message.GetDuration()),
		nonce:    message.GetNonce(),
		version:  version,
	}, nil
}
