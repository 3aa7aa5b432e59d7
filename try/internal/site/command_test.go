package site_test

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/google/subcommands"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"snipetally.example/operator/command"
	"snipetally.example/try/internal/site"
)

// readyTimeout bounds the wait for the routers to become ready.
const readyTimeout = time.Minute

// ordersTimeout bounds the wait for the effect of orders, which follow a lease.
const ordersTimeout = 2 * time.Minute

func TestSite(t *testing.T) {
	RegisterFailHandler(Fail)
	suite, reporter := GinkgoConfiguration()
	suite.RandomSeed = 1
	RunSpecs(t, "site", suite, reporter)
}

var _ = Describe("the operator command", Ordered, func() {
	var s *site.Site
	var stop func()

	BeforeAll(func() {
		var err error
		ctx, cancel := context.WithCancel(context.Background())
		s, err = site.New(ctx, "", io.Discard)
		Expect(err).NotTo(HaveOccurred())
		done := make(chan error, 1)
		go func() { done <- s.Run(ctx) }()
		stop = func() {
			cancel()
			Expect(<-done).To(Succeed())
		}
		for _, router := range s.Routers {
			Eventually(router.Ready).WithTimeout(readyTimeout).Should(BeTrue())
		}
	})
	AfterAll(func() { stop() })

	run := func(router int, key string, args ...string) (subcommands.ExitStatus, string, string) {
		GinkgoHelper()
		code, stdout, stderr, err := s.RunCommandWithKey(context.Background(), router, key, args...)
		Expect(err).NotTo(HaveOccurred())
		return subcommands.ExitStatus(code), stdout, stderr
	}

	DescribeTable("reports the outcome of a command in its exit code",
		func(code subcommands.ExitStatus, key string, args []string) {
			got, _, stderr := run(1, key, args...)
			Expect(got).To(Equal(code), stderr)
		},
		Entry("an unknown preset", command.ExitUsage, site.OperatorKey, []string{"preset", "switch", "night"}),
		Entry("a value out of range", command.ExitUsage, site.OperatorKey, []string{"class", "set", "desk", "floor=3"}),
		Entry("a base above the newest revision", command.ExitUsage, site.OperatorKey, []string{"preset", "switch", "-base", "99", "peak"}),
		Entry("an unknown field", command.ExitUsage, site.OperatorKey, []string{"class", "set", "desk", "floors=0.1"}),
		Entry("a field without a value", command.ExitUsage, site.OperatorKey, []string{"class", "set", "desk", "floor"}),
		Entry("no name", command.ExitUsage, site.OperatorKey, []string{"backend", "retire"}),
		Entry("an unknown command", command.ExitUsage, site.OperatorKey, []string{"preset", "paint"}),
		Entry("an unknown key", command.ExitForbidden, "another-key", []string{"preset", "switch", "peak"}),
		Entry("a list with an unknown key", command.ExitForbidden, "another-key", []string{"class", "list"}),
		Entry("a list", subcommands.ExitSuccess, site.OperatorKey, []string{"backend", "list"}),
		Entry("one document", subcommands.ExitSuccess, site.OperatorKey, []string{"team", "show", "hotel"}),
		Entry("the VMs", subcommands.ExitSuccess, site.OperatorKey, []string{"vm", "list"}),
		Entry("the state dump", subcommands.ExitSuccess, site.OperatorKey, []string{"dump"}),
	)

	It("reports how many VMs confirmed a change and rejects a command based on an older revision", func() {
		code, stdout, stderr := run(0, site.OperatorKey, "preset", "switch", "-wait", "-token", "one", "peak")
		Expect(code).To(Equal(subcommands.ExitSuccess), stderr)
		Expect(stdout).To(ContainSubstring("in force on 3 VMs"))

		code, _, stderr = run(1, site.OperatorKey, "preset", "switch", "-base", "1", "-token", "two", "day")
		Expect(code).To(Equal(command.ExitSuperseded))
		Expect(stderr).To(ContainSubstring("trial"))

		code, stdout, _ = run(2, site.OperatorKey, "preset", "switch", "-base", "1", "-token", "one", "peak")
		Expect(code).To(Equal(subcommands.ExitSuccess))
		Expect(stdout).To(ContainSubstring("accepted as revision 2"))

		for router := range s.Routers {
			_, stdout, _ = run(router, site.OperatorKey, "status")
			Expect(stdout).To(ContainSubstring(`"value": "peak"`))
		}
	})

	It("brings an engine to the models of a preset, and back under a preset that does not place it", func() {
		models := func() []string { return s.ServedModels("assistant-1") }
		before := []string{"mazungumzo"}
		switchTo := func(preset string) {
			code, _, stderr := run(0, site.OperatorKey, "preset", "switch", "-wait", preset)
			Expect(code).To(Equal(subcommands.ExitSuccess), stderr)
		}
		switchTo("peak")
		Eventually(models).WithTimeout(ordersTimeout).Should(ContainElement("tiketi"))
		switchTo("day")
		Eventually(models).WithTimeout(ordersTimeout).Should(ConsistOf(before))
	})

	It("adds, retires and removes a backend server", func() {
		code, _, stderr := run(0, site.OperatorKey, "backend", "add", "-wait", "spare", "address=127.0.0.1:9",
			"zone=local-a", "region=local", "partner=kilele", `models=["mazungumzo"]`, "slots=4")
		Expect(code).To(Equal(subcommands.ExitSuccess), stderr)
		code, _, stderr = run(1, site.OperatorKey, "backend", "retire", "-wait", "spare")
		Expect(code).To(Equal(subcommands.ExitSuccess), stderr)
		_, stdout, _ := run(2, site.OperatorKey, "backend", "show", "spare")
		Expect(stdout).To(ContainSubstring(`"leaving": true`))
		code, _, stderr = run(2, site.OperatorKey, "backend", "remove", "-wait", "spare")
		Expect(code).To(Equal(subcommands.ExitSuccess), stderr)
	})
})
