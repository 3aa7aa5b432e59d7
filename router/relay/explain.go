package relay

import (
	"io"

	"snipetally.example/router/internal/decision"
)

// Explain writes the story of a request from the logs of routers.
func Explain(out io.Writer, request string, logs ...io.Reader) error {
	return decision.Explain(out, request, logs...)
}
