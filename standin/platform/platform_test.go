package platform_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"snipetally.example/standin/platform"
)

const commitRequest = `{"checks":[{"key":"k","version":0}],"writes":[{"key":"k","value":"dg=="}]}`

// call sends a request on a new connection.
func call(server *httptest.Server, path, body string) (int, string, error) {
	request, _ := http.NewRequest(http.MethodPost, server.URL+path, strings.NewReader(body))
	request.Close = true
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, strings.TrimSpace(string(data)), err
}

func TestCommitAppliesOnceAndIsReadable(t *testing.T) {
	g := gomega.NewWithT(t)
	server := httptest.NewServer(platform.NewTableService())
	defer server.Close()
	for _, expected := range []int{http.StatusOK, http.StatusConflict} {
		status, _, err := call(server, "/commit", commitRequest)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(status).To(gomega.Equal(expected))
	}
	_, rows, _ := call(server, "/read", `{"keys":["k"]}`)
	g.Expect(rows).To(gomega.Equal(`{"rows":[{"key":"k","value":"dg==","version":1}]}`))
	_, listed, _ := call(server, "/list", `{"prefix":"k"}`)
	g.Expect(listed).To(gomega.Equal(rows))
}

func TestInterruptedCommitAppliesOnlyIfResponseWasLost(t *testing.T) {
	for fault, version := range map[platform.Fault]uint64{platform.FaultRequestLost: 0, platform.FaultResponseLost: 1} {
		g := gomega.NewWithT(t)
		table := platform.NewTableService()
		server := httptest.NewServer(table)
		table.Inject(fault)
		_, _, err := call(server, "/commit", commitRequest)
		g.Expect(err).To(gomega.HaveOccurred())
		rows, _ := table.Table().Read(t.Context(), "k")
		g.Expect(rows[0].Version).To(gomega.Equal(version))
		server.Close()
	}
}

func TestVMListShowsChangesAfterLag(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		list := platform.NewVMList(time.Minute, platform.VM{Name: "a", State: platform.VMLive})
		show := func() string {
			w := httptest.NewRecorder()
			list.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/vms", nil))
			return w.Body.String()
		}
		list.Set(platform.VM{Name: "a", State: platform.VMLeaving})
		time.Sleep(59 * time.Second)
		g.Expect(show()).To(gomega.ContainSubstring("live"))
		time.Sleep(time.Second)
		g.Expect(show()).To(gomega.ContainSubstring("leaving"))
	})
}
