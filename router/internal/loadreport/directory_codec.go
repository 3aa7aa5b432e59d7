package loadreport

import (
	"fmt"

	"snipetally.example/router/internal/codec"
	"snipetally.example/router/internal/placement"
)

// directoryMessage is a message between directories. It publishes the sender's
// loads at engines whose home is the receiver, and asks for those of the other
// routers if it has a question number. An answer has the number of the question
// and the sums of the other routers' loads.
type directoryMessage struct {
	Question uint32
	Answer   bool
	Loads    []placement.ServerLoad
}

// wireDirectoryMessage is the wire format of a directory message.
type wireDirectoryMessage struct {
	_        struct{} `cbor:",toarray"`
	Question uint32
	Answer   bool
	Loads    []wireLoad
}

// encodeDirectory returns the CBOR encoding of a message.
func encodeDirectory(m directoryMessage) ([]byte, error) {
	data, err := codec.Marshal(wireDirectoryMessage{Question: m.Question, Answer: m.Answer, Loads: encodeLoads(m.Loads)})
	if err != nil {
		return nil, fmt.Errorf("encode directory message: %w", err)
	}
	return data, nil
}

// decodeDirectory is the inverse of encodeDirectory.
func decodeDirectory(data []byte) (directoryMessage, error) {
	var w wireDirectoryMessage
	if err := codec.Unmarshal(data, &w); err != nil {
		return directoryMessage{}, fmt.Errorf("decode directory message: %w", err)
	}
	return directoryMessage{Question: w.Question, Answer: w.Answer, Loads: decodeLoads(w.Loads)}, nil
}
