package service_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/onsi/gomega"

	"snipetally.example/standin/service"
)

// post sends a request on a new connection.
func post(server *httptest.Server, attempt string) (*http.Response, string, error) {
	request, _ := http.NewRequest(http.MethodPost, server.URL+"/grants", strings.NewReader("room 7"))
	request.Header.Set("Attempt", attempt)
	request.Close = true
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, "", err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return response, string(body), err
}

func TestRunsAreCountedEvenIfResponseIsLost(t *testing.T) {
	g := gomega.NewWithT(t)
	s := service.New(service.Config{})
	server := httptest.NewServer(s)
	defer server.Close()
	for point, runs := range map[service.FailurePoint]int{service.BeforeRun: 0, service.AfterRun: 1, service.DuringResponse: 1} {
		before := len(s.Runs())
		s.BreakNext(point)
		_, _, err := post(server, "a")
		g.Expect(err).To(gomega.HaveOccurred())
		g.Expect(len(s.Runs()) - before).To(gomega.Equal(runs))
	}
	response, body, err := post(server, "b")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(response.Header.Get("Attempt")).To(gomega.Equal("b"))
	g.Expect(body).To(gomega.ContainSubstring("room 7"))
}

func TestStatusReportingServiceRunsAttemptAtMostOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	s := service.New(service.Config{ReportsStatus: true})
	server := httptest.NewServer(s)
	defer server.Close()
	_, _, err := post(server, "a")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	response, _, err := post(server, "a")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(response.StatusCode).To(gomega.Equal(http.StatusConflict))
	_, err = http.Get(server.URL + "/attempts/b")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	response, _, err = post(server, "b")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(response.StatusCode).To(gomega.Equal(http.StatusConflict))
	g.Expect(s.Runs()).To(gomega.HaveLen(1))
}

func TestRunsAreListedOverHTTP(t *testing.T) {
	g := gomega.NewWithT(t)
	server := httptest.NewServer(service.New(service.Config{}))
	defer server.Close()
	_, _, err := post(server, "a")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	response, err := http.Get(server.URL + "/runs")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(string(body)).To(gomega.MatchJSON(`[{"run":1,"attempt":"a","key":"","path":"/grants"}]`))
}
