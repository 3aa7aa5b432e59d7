package relay

import (
	"io"

	"snipetally.example/router/internal/decision"
)

// Explain writes the lines about a request in the logs of routers, and then the
// state changes of the routers that handled it around that time.
func Explain(out io.Writer, request string, logs ...io.Reader) error {
	return decision.Explain(out, request, logs...)
}
