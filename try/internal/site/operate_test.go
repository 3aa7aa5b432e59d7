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

// readyTimeout bounds the wait for routers that do not come up at all.
const readyTimeout = time.Minute

func TestSite(t *testing.T) {
	RegisterFailHandler(Fail)
	suite, reporter := GinkgoConfiguration()
	suite.RandomSeed = 1
	RunSpecs(t, "site", suite, reporter)
}

var _ = Describe("the operators' command", Ordered, func() {
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
		code, out, errs, err := s.RunCommandWithKey(context.Background(), router, key, args...)
		Expect(err).NotTo(HaveOccurred())
		return subcommands.ExitStatus(code), out, errs
	}

	DescribeTable("tells by its exit code what became of a command",
		func(code subcommands.ExitStatus, key string, args []string) {
			got, _, errs := run(1, key, args...)
			Expect(got).To(Equal(code), errs)
		},
		Entry("a preset that is not there", command.ExitUsage, site.OperatorKey, []string{"preset", "switch", "night"}),
		Entry("a value out of range", command.ExitUsage, site.OperatorKey, []string{"class", "set", "desk", "floor=3"}),
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

	It("says which VMs have confirmed a change and lets no late command undo it", func() {
		code, out, errs := run(0, site.OperatorKey, "preset", "switch", "-wait", "-token", "one", "peak")
		Expect(code).To(Equal(subcommands.ExitSuccess), errs)
		Expect(out).To(ContainSubstring("in force on 3 VMs"))

		code, _, errs = run(1, site.OperatorKey, "preset", "switch", "-base", "1", "-token", "two", "day")
		Expect(code).To(Equal(command.ExitSuperseded))
		Expect(errs).To(ContainSubstring("trial"))

		code, out, _ = run(2, site.OperatorKey, "preset", "switch", "-base", "1", "-token", "one", "peak")
		Expect(code).To(Equal(subcommands.ExitSuccess))
		Expect(out).To(ContainSubstring("accepted as revision 2"))

		for router := range s.Routers {
			_, out, _ = run(router, site.OperatorKey, "status")
			Expect(out).To(ContainSubstring(`"value": "peak"`))
		}
	})

	It("adds, retires and removes a backend server", func() {
		code, _, errs := run(0, site.OperatorKey, "backend", "add", "-wait", "spare", "address=127.0.0.1:9",
			"zone=local-a", "region=local", "partner=kilele", `models=["mazungumzo"]`, "slots=4")
		Expect(code).To(Equal(subcommands.ExitSuccess), errs)
		code, _, errs = run(1, site.OperatorKey, "backend", "retire", "-wait", "spare")
		Expect(code).To(Equal(subcommands.ExitSuccess), errs)
		_, out, _ := run(2, site.OperatorKey, "backend", "show", "spare")
		Expect(out).To(ContainSubstring(`"leaving": true`))
		code, _, errs = run(2, site.OperatorKey, "backend", "remove", "-wait", "spare")
		Expect(code).To(Equal(subcommands.ExitSuccess), errs)
	})
})
