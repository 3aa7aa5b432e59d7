package attempt

import (
	"net/http"
	"strings"
)

const (
	attemptHeader     = "Attempt"
	priorityHeader    = "Priority"
	epochHeader       = "Epoch"
	lastEventHeader   = "Last-Event-ID"
	connectionHeader  = "Connection"
	contentTypeHeader = "Content-Type"
	userAgentHeader   = "User-Agent"

	eventStreamType = "text/event-stream"
	jsonType        = "application/json"
)

// hopByHop lists the headers that apply to a single connection.
var hopByHop = []string{
	connectionHeader, "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// EndToEnd returns a copy of the headers without the hop-by-hop ones: those in
// hopByHop and those that the Connection header lists.
func EndToEnd(header http.Header) http.Header {
	kept := header.Clone()
	if kept == nil {
		kept = make(http.Header)
	}
	for _, list := range header[connectionHeader] {
		for name := range strings.SplitSeq(list, ",") {
			kept.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHop {
		kept.Del(name)
	}
	return kept
}

// requestHeader returns the headers of a request to a backend server: the
// end-to-end headers of header and the id of the attempt. A nil User-Agent stops
// net/http from adding its own.
func requestHeader(header http.Header, attempt string) http.Header {
	kept := EndToEnd(header)
	kept.Del("Content-Length")
	kept.Del("Host")
	kept.Del("Expect")
	kept.Set(attemptHeader, attempt)
	if _, ok := kept[userAgentHeader]; !ok {
		kept[userAgentHeader] = nil
	}
	return kept
}
