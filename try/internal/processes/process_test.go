//go:build processes

package processes_test

import (
	"bufio"
	"bytes"
	"context"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"

	"github.com/onsi/gomega"
)

// process is a process that the test started, and kills at its end.
type process struct {
	t       *testing.T
	command *exec.Cmd

	// done is closed when the process has exited. exitCode is set before that.
	done     chan struct{}
	exitCode int

	stdout *bufio.Reader
	stderr outputBuffer
}

// outputBuffer collects the output of a process.
type outputBuffer struct {
	// mu guards text.
	mu   sync.Mutex
	text bytes.Buffer
}

// Write implements io.Writer.
func (b *outputBuffer) Write(data []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(data)
}

// String returns the output so far.
func (b *outputBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// binaryPath returns the path of a program that scripts/processes built.
func binaryPath(name string) string {
	return filepath.Join(os.Getenv("SNIPETALLY_BIN"), name)
}

// start starts a program. The process is killed when the test ends, if it has not
// exited before.
func start(t *testing.T, name string, args ...string) *process {
	t.Helper()
	g := gomega.NewWithT(t)
	p := &process{t: t, command: exec.Command(binaryPath(name), args...), done: make(chan struct{})}
	p.command.Stderr = &p.stderr
	stdout, err := p.command.StdoutPipe()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	p.stdout = bufio.NewReader(stdout)
	g.Expect(p.command.Start()).To(gomega.Succeed())
	go func() {
		_ = p.command.Wait()
		p.exitCode = p.command.ProcessState.ExitCode()
		close(p.done)
	}()
	t.Cleanup(func() {
		_ = p.command.Process.Kill()
		<-p.done
	})
	return p
}

// readAddress returns the listen address that a fake prints at its start.
func (p *process) readAddress() string {
	p.t.Helper()
	line, err := p.stdout.ReadString('\n')
	gomega.NewWithT(p.t).Expect(err).NotTo(gomega.HaveOccurred(), p.stderr.String())
	return strings.TrimSpace(strings.TrimPrefix(line, "listening on "))
}

// signal sends a signal to this process, not to its process group.
func (p *process) signal(s syscall.Signal) {
	p.t.Helper()
	gomega.NewWithT(p.t).Expect(p.command.Process.Signal(s)).To(gomega.Succeed())
}

// freeAddresses returns n distinct loopback addresses that nothing listens on.
func freeAddresses(t *testing.T, n int) []string {
	t.Helper()
	g := gomega.NewWithT(t)
	var addresses []string
	var listeners []net.Listener
	for range n {
		var config net.ListenConfig
		l, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		listeners = append(listeners, l)
		addresses = append(addresses, l.Addr().String())
	}
	for _, l := range listeners {
		g.Expect(l.Close()).To(gomega.Succeed())
	}
	return addresses
}
