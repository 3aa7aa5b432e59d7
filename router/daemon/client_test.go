package daemon_test

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"snipetally.example/router/daemon"
	"snipetally.example/standin/engine"
	"snipetally.example/standin/platform"
)

// readyTimeout bounds the wait for a router to become ready.
const readyTimeout = time.Minute

const settingsText = `
seed = "test"
force = "day"
[vm]
name = "router"
zone = "a"
region = "r"
linger = "1ms"
[caller]
listen = "127.0.0.1:0"
[operators]
listen = "127.0.0.1:0"
[peers]
listen = "127.0.0.1:0"
keys = ["a-key-between-the-routers"]
[table]
address = "%s"
[list]
address = "%s"
[[account]]
name = "operator"
keys = ["%x"]
[[partner]]
name = "partner"
[[class]]
name = "chat"
tier = 1
first = "420ms"
between = "38ms"
deadline = "30s"
weight = 1.0
queue = 100
[[preset]]
name = "day"
[[team]]
name = "team"
partner = "partner"
keys = ["%x"]
classes = ["chat"]
weight = 1.0
[[server]]
name = "engine"
address = "%s"
zone = "a"
region = "r"
partner = "partner"
models = ["model"]
slots = 256
`

// listen serves h on a loopback address until the test ends.
func listen(t testing.TB, h http.Handler) string {
	var config net.ListenConfig
	l, err := config.Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: h}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	return l.Addr().String()
}

// startRouter runs a router with one engine and returns it once it is ready.
func startRouter(t testing.TB) *daemon.Router {
	router, _ := startWithEngine(t, engine.Config{Models: []string{"model"}})
	return router
}

// startWithEngine is like startRouter with a custom engine configuration. It also
// returns the address of the engine.
func startWithEngine(t testing.TB, config engine.Config) (*daemon.Router, string) {
	e := engine.New(config)
	t.Cleanup(e.Close)
	address := listen(t, e)
	text := fmt.Sprintf(settingsText, listen(t, platform.NewTableService()), listen(t, platform.NewVMList(0)),
		sha256.Sum256([]byte("operator-key")), sha256.Sum256([]byte("team-key")), address)
	router := runRouter(t, text)
	gomega.NewWithT(t).Eventually(router.Ready).WithTimeout(readyTimeout).Should(gomega.BeTrue())
	return router, address
}

// runRouter runs a router with the given settings until the test ends, and checks
// that it then stops without an error. It may not be ready yet.
func runRouter(t testing.TB, settings string) *daemon.Router {
	router, err := daemon.New(t.Context(), daemon.Options{Settings: []byte(settings), Log: io.Discard})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- router.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Error(err)
		}
	})
	return router
}

// chatParams returns a chat completion request for the model.
func chatParams(model string) openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model:     model,
		MaxTokens: openai.Int(12),
		Messages:  []openai.ChatCompletionMessageParamUnion{openai.UserMessage("Habari za asubuhi?")},
	}
}

func TestOpenAIClientGetsStreamedAndFullResponses(t *testing.T) {
	g := gomega.NewWithT(t)
	router := startRouter(t)
	client := openai.NewClient(
		option.WithBaseURL("http://"+router.CallerAddress()+"/v1"),
		option.WithAPIKey("team-key"),
		option.WithMaxRetries(0),
	)
	body, err := json.Marshal(chatParams("model"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	want, err := engine.CompletionText(body)
	g.Expect(err).NotTo(gomega.HaveOccurred())

	full, err := client.Chat.Completions.New(t.Context(), chatParams("model"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(full.Choices[0].Message.Content).To(gomega.Equal(want))

	stream := client.Chat.Completions.NewStreaming(t.Context(), chatParams("model"))
	var streamed openai.ChatCompletionAccumulator
	for stream.Next() {
		streamed.AddChunk(stream.Current())
	}
	g.Expect(stream.Err()).NotTo(gomega.HaveOccurred())
	g.Expect(streamed.Choices[0].Message.Content).To(gomega.Equal(want))

	models, err := client.Models.List(t.Context())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(models.Data).To(gomega.HaveLen(1))
	g.Expect(models.Data[0].ID).To(gomega.Equal("model"))

	_, err = client.Chat.Completions.New(t.Context(), chatParams("none"))
	var apiError *openai.Error
	g.Expect(err).To(gomega.BeAssignableToTypeOf(apiError))
	g.Expect(err.Error()).To(gomega.ContainSubstring("404"))
}

func TestOperatorAddressExposesNoSecrets(t *testing.T) {
	g := gomega.NewWithT(t)
	router := startRouter(t)
	get := func(path, key string) (int, string) {
		request, err := http.NewRequest(http.MethodGet, "http://"+router.OperatorAddress()+path, nil)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		request.Header.Set("Authorization", "Bearer "+key)
		response, err := http.DefaultClient.Do(request)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		defer func() { _ = response.Body.Close() }()
		data, err := io.ReadAll(response.Body)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		return response.StatusCode, string(data)
	}
	for _, path := range []string{"/live", "/ready"} {
		status, _ := get(path, "")
		g.Expect(status).To(gomega.Equal(http.StatusOK))
	}
	for _, path := range []string{"/state", "/metrics"} {
		status, _ := get(path, "another-key")
		g.Expect(status).To(gomega.Equal(http.StatusUnauthorized))
		status, text := get(path, "operator-key")
		g.Expect(status).To(gomega.Equal(http.StatusOK))
		g.Expect(json.Valid([]byte(text))).To(gomega.BeTrue())
		for _, secret := range []string{
			"a-key-between-the-routers", "team-key", "operator-key",
			fmt.Sprintf("%x", sha256.Sum256([]byte("team-key"))),
		} {
			g.Expect(text).NotTo(gomega.ContainSubstring(secret))
		}
	}
}
