package command_test

import (
	"bytes"
	"context"
	"net"
	"testing"

	"github.com/google/subcommands"
	"github.com/onsi/gomega"

	"snipetally.example/operator/command"
)

// closedAddress returns an address at which nothing listens.
func closedAddress(g *gomega.WithT) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(l.Close()).To(gomega.Succeed())
	return l.Addr().String()
}

func TestOutcomeIsKnownWhenTheConnectionIsRefused(t *testing.T) {
	g := gomega.NewWithT(t)
	address := closedAddress(g)
	for _, words := range [][]string{
		{"status"},
		{"dump"},
		{"vm", "list"},
		{"class", "list"},
		{"preset", "switch", "peak"},
		{"preset", "switch", "-base", "3", "-token", "a", "peak"},
	} {
		var stdout, stderr bytes.Buffer
		args := append([]string{"snipetally", "-router", address}, words...)
		code := command.Run(context.Background(), args, &stdout, &stderr)
		g.Expect(subcommands.ExitStatus(code)).To(gomega.Equal(command.ExitUnavailable), stderr.String())
		g.Expect(stderr.String()).NotTo(gomega.ContainSubstring("outcome unknown"))
	}
}
