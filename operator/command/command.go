// Package command implements the operators' command line: a group of commands for
// each kind of document, and the exit codes. It imports packages link and output
// and the wire contract.
package command

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/google/subcommands"
	"github.com/juju/errors"

	"snipetally.example/operator/internal/link"
	"snipetally.example/operator/internal/output"
)

// Exit codes of the command.
const (
	// ExitUsage means that the command line is wrong.
	ExitUsage subcommands.ExitStatus = 2

	// ExitSuperseded means that somebody else changed the same document first.
	// Nothing was changed.
	ExitSuperseded subcommands.ExitStatus = 3

	// ExitUnconfirmed means that the change was accepted, but not all VMs confirmed
	// it within the wait limit.
	ExitUnconfirmed subcommands.ExitStatus = 4

	// ExitForbidden means that the operator's key is unknown or that the operator
	// may not make the change.
	ExitForbidden subcommands.ExitStatus = 5

	// ExitUnavailable means that the router or the table service did not accept
	// the command. Nothing was changed.
	ExitUnavailable subcommands.ExitStatus = 6

	// ExitUncertain means that the response was lost. The command printed a token
	// with which it can be repeated safely.
	ExitUncertain subcommands.ExitStatus = 7
)

// keyEnv names the environment variable that holds the operator's key.
const keyEnv = "SNIPETALLY_KEY"

const (
	defaultCallTimeout = 10 * time.Second
	defaultWaitLimit   = 30 * time.Second
)

// app holds what all commands share: the output and the values of the global
// flags.
type app struct {
	stdout io.Writer
	stderr io.Writer

	routerAddress string
	keyFile       string
	caFile        string
	format        string
	callTimeout   time.Duration
}

// Run runs the command line args, whose first element is the name of the program,
// and returns the exit code.
func Run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	a := &app{stdout: stdout, stderr: stderr}
	flags := flag.NewFlagSet(args[0], flag.ContinueOnError)
	flags.SetOutput(stderr)
	flags.StringVar(&a.routerAddress, "router", "127.0.0.1:8081", "operators' address of a router, as IP:PORT")
	flags.StringVar(&a.keyFile, "keyfile", "", "path of a file with the operator's key, instead of "+keyEnv)
	flags.StringVar(&a.caFile, "authority", "", "path of the router's certificate authority, for TLS")
	flags.StringVar(&a.format, "output", string(output.FormatTable), "table or json")
	flags.DurationVar(&a.callTimeout, "timeout", defaultCallTimeout, "timeout of one call")
	commander := subcommands.NewCommander(flags, filepath.Base(args[0]))
	commander.Output, commander.Error = stdout, stderr
	a.register(commander)
	if err := flags.Parse(args[1:]); err != nil {
		return int(ExitUsage)
	}
	if f := output.Format(a.format); f != output.FormatTable && f != output.FormatJSON {
		_, _ = fmt.Fprintf(stderr, "output %q is neither table nor json\n", a.format)
		return int(ExitUsage)
	}
	return int(commander.Execute(ctx))
}

// newClient returns a client of the router.
func (a *app) newClient() (*link.Client, error) {
	key := os.Getenv(keyEnv)
	if a.keyFile != "" {
		data, err := os.ReadFile(a.keyFile)
		if err != nil {
			return nil, fmt.Errorf("read key: %w", err)
		}
		key = strings.TrimSpace(string(data))
	}
	client, err := link.New(link.Options{
		Address: a.routerAddress,
		Key:     key,
		Timeout: a.callTimeout,
		CAFile:  a.caFile,
	})
	if err != nil {
		return nil, fmt.Errorf("create client: %w", err)
	}
	return client, nil
}

// printTable writes the table in the chosen format.
func (a *app) printTable(t *output.Table) error {
	return t.Print(a.stdout, output.Format(a.format))
}

// fail prints an error and returns the exit code for it.
func (a *app) fail(err error) subcommands.ExitStatus {
	_, _ = fmt.Fprintln(a.stderr, err)
	for _, mapping := range []struct {
		target error
		code   subcommands.ExitStatus
	}{
		{link.ErrSuperseded, ExitSuperseded},
		{link.ErrForbidden, ExitForbidden},
		{link.ErrInvalid, ExitUsage},
		{link.ErrUnavailable, ExitUnavailable},
		{link.ErrUncertain, ExitUncertain},
		{errUnconfirmed, ExitUnconfirmed},
		{errUsage, ExitUsage},
	} {
		if errors.Is(err, mapping.target) {
			return mapping.code
		}
	}
	return subcommands.ExitFailure
}

// errUsage means that the command line is wrong.
const errUsage = errors.ConstError("usage")
