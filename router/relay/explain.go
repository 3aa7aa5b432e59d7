package relay

import (
	"io"

	"snipetally.example/router/internal/decision"
)

// Explain writes the log lines about a request and what its routers believed at
// the time, from the logs of routers.
func Explain(out io.Writer, request string, logs ...io.Reader) error {
	return decision.Explain(out, request, logs...)
}
