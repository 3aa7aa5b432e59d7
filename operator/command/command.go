// Package command holds the operators' command line: a group of commands for
// each kind of thing, and the exit codes. It imports packages link and output.
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

	// ExitSuperseded means that somebody else changed the same thing first.
	// Nothing was changed.
	ExitSuperseded subcommands.ExitStatus = 3

	// ExitUnconfirmed means that the change was accepted but is not known to be in
	// force everywhere in the time given.
	ExitUnconfirmed subcommands.ExitStatus = 4

	// ExitForbidden means that the operator may not do that.
	ExitForbidden subcommands.ExitStatus = 5

	// ExitUnavailable means that the router or the table service did not take
	// the command. Nothing was changed.
	ExitUnavailable subcommands.ExitStatus = 6

	// ExitUncertain means that the answer was lost. The command printed a
	// token with which it can be repeated safely.
	ExitUncertain subcommands.ExitStatus = 7
)

// keyVariable names the environment variable that holds the operator's key.
const keyVariable = "SNIPETALLY_KEY"

const (
	defaultTimeout = 10 * time.Second
	defaultLimit   = 30 * time.Second
)

// app is what all commands share.
type app struct {
	out io.Writer
	err io.Writer

	router    string
	keyFile   string
	authority string
	format    string
	timeout   time.Duration
}

// Run runs the command that args name and returns the exit code.
func Run(ctx context.Context, args []string, out, errs io.Writer) int {
	a := &app{out: out, err: errs}
	flags := flag.NewFlagSet(args[0], flag.ContinueOnError)
	flags.SetOutput(errs)
	flags.StringVar(&a.router, "router", "127.0.0.1:8081", "operators' address of a router, IP and port")
	flags.StringVar(&a.keyFile, "keyfile", "", "path of a file with the operator's key, in place of "+keyVariable)
	flags.StringVar(&a.authority, "authority", "", "path of the router's certificate authority, for TLS")
	flags.StringVar(&a.format, "output", string(output.FormatTable), "table or json")
	flags.DurationVar(&a.timeout, "timeout", defaultTimeout, "time for one call")
	commander := subcommands.NewCommander(flags, filepath.Base(args[0]))
	commander.Output, commander.Error = out, errs
	a.register(commander)
	if err := flags.Parse(args[1:]); err != nil {
		return int(ExitUsage)
	}
	if f := output.Format(a.format); f != output.FormatTable && f != output.FormatJSON {
		_, _ = fmt.Fprintf(errs, "output %q is neither table nor json\n", a.format)
		return int(ExitUsage)
	}
	return int(commander.Execute(ctx))
}

// connect returns a link to the router.
func (a *app) connect() (*link.Client, error) {
	key := os.Getenv(keyVariable)
	if a.keyFile != "" {
		data, err := os.ReadFile(a.keyFile)
		if err != nil {
			return nil, fmt.Errorf("read key: %w", err)
		}
		key = strings.TrimSpace(string(data))
	}
	l, err := link.New(link.Options{
		Address: a.router,
		Key:     key,
		Timeout: a.timeout,
		CAFile:  a.authority,
	})
	if err != nil {
		return nil, fmt.Errorf("connect: %w", err)
	}
	return l, nil
}

// print writes the sheet in the chosen format.
func (a *app) print(s *output.Table) error {
	return s.Print(a.out, output.Format(a.format))
}

// fail prints an error and returns its exit code.
func (a *app) fail(err error) subcommands.ExitStatus {
	_, _ = fmt.Fprintln(a.err, err)
	for _, known := range []struct {
		cause error
		code  subcommands.ExitStatus
	}{
		{link.ErrSuperseded, ExitSuperseded},
		{link.ErrForbidden, ExitForbidden},
		{link.ErrInvalid, ExitUsage},
		{link.ErrUnavailable, ExitUnavailable},
		{link.ErrUncertain, ExitUncertain},
		{errWaiting, ExitUnconfirmed},
		{errUsage, ExitUsage},
	} {
		if errors.Is(err, known.cause) {
			return known.code
		}
	}
	return subcommands.ExitFailure
}

// errUsage is the cause of a wrong command line.
const errUsage = errors.ConstError("usage")
