package handover_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"snipetally.example/router/internal/handover"
)

// Guards against requests that no other router takes over, as a header of theirs is not in UTF-8.
func TestRequestWithAHeaderInLatin1IsHandedOver(t *testing.T) {
	g := gomega.NewWithT(t)
	request := handover.Request{
		Method: http.MethodPost, Target: "/\xe9", Host: "h", Header: http.Header{"X-Name": {"Jos\xe9"}, "X-Other": {"\xff\xfe"}},
		Timeout: time.Second, Service: "s", LastEventID: "\xe9",
	}
	data, err := handover.Encode(request)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	decoded, err := handover.Decode(data)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(decoded).To(gomega.Equal(request))
}
