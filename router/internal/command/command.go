// Package command implements the command line of the router daemon. It imports
// packages daemon and settings.
package command

import (
	"context"
	"flag"
	"fmt"
	"io"
	"log"
	"os"
	"path/filepath"
	"runtime/debug"

	"github.com/google/subcommands"

	"snipetally.example/router/daemon"
	"snipetally.example/router/internal/settings"
)

// Exit codes of the daemon.
const (
	// ExitInvalid means that the settings or the command line are invalid.
	ExitInvalid subcommands.ExitStatus = 2

	// ExitAborted means that a second signal aborted requests in progress.
	ExitAborted subcommands.ExitStatus = 3
)

// Run runs the command named in args and returns the exit code. The first signal
// stops the daemon gracefully, the second one immediately.
func Run(ctx context.Context, args []string, signals <-chan os.Signal) int {
	flags := flag.NewFlagSet(args[0], flag.ContinueOnError)
	commander := subcommands.NewCommander(flags, filepath.Base(args[0]))
	commander.Register(commander.HelpCommand(), "")
	commander.Register(&serve{signals: signals}, "")
	commander.Register(&check{}, "")
	commander.Register(&version{}, "")
	if err := flags.Parse(args[1:]); err != nil {
		return int(ExitInvalid)
	}
	// The HTTP library logs unsolicited data on idle connections, which may be part
	// of a response.
	log.SetOutput(io.Discard)
	return int(commander.Execute(ctx))
}

// serve runs the router.
type serve struct {
	settings string
	signals  <-chan os.Signal
}

// Name implements subcommands.Command.
func (*serve) Name() string { return "serve" }

// Synopsis implements subcommands.Command.
func (*serve) Synopsis() string { return "run the router" }

// Usage implements subcommands.Command.
func (*serve) Usage() string { return "serve -settings FILE\n" }

// SetFlags implements subcommands.Command.
func (s *serve) SetFlags(f *flag.FlagSet) {
	f.StringVar(&s.settings, "settings", "", "path of the settings file")
}

// Execute implements subcommands.Command.
func (s *serve) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	data, err := os.ReadFile(s.settings)
	if err != nil {
		fmt.Fprintf(os.Stderr, "read settings: %v\n", err)
		return ExitInvalid
	}
	router, err := daemon.New(ctx, daemon.Options{Settings: data, Log: os.Stderr})
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return ExitInvalid
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	done := make(chan error, 1)
	go func() {
		done <- router.Run(ctx)
	}()
	return s.wait(router, stop, done)
}

// wait returns when the router has stopped, or at the second signal.
func (s *serve) wait(router *daemon.Router, stop context.CancelFunc, done <-chan error) subcommands.ExitStatus {
	stopping := false
	for {
		select {
		case err := <-done:
			if err != nil {
				fmt.Fprintln(os.Stderr, err)
				return subcommands.ExitFailure
			}
			return subcommands.ExitSuccess
		case <-s.signals:
			if stopping {
				fmt.Fprintf(os.Stderr, "stopped immediately; requests cut off: %s\n", router.InflightSummary())
				return ExitAborted
			}
			stopping = true
			stop()
		}
	}
}

// check checks a settings file.
type check struct {
	settings string
}

// Name implements subcommands.Command.
func (*check) Name() string { return "check" }

// Synopsis implements subcommands.Command.
func (*check) Synopsis() string { return "check a settings file" }

// Usage implements subcommands.Command.
func (*check) Usage() string { return "check -settings FILE\n" }

// SetFlags implements subcommands.Command.
func (c *check) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.settings, "settings", "", "path of the settings file")
}

// Execute implements subcommands.Command.
func (c *check) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	if _, err := settings.Load(c.settings); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return ExitInvalid
	}
	fmt.Println("settings are valid")
	return subcommands.ExitSuccess
}

// version prints the version.
type version struct{}

// Name implements subcommands.Command.
func (*version) Name() string { return "version" }

// Synopsis implements subcommands.Command.
func (*version) Synopsis() string { return "print the version" }

// Usage implements subcommands.Command.
func (*version) Usage() string { return "version\n" }

// SetFlags implements subcommands.Command.
func (*version) SetFlags(*flag.FlagSet) {}

// Execute implements subcommands.Command.
func (*version) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return subcommands.ExitFailure
	}
	fmt.Println(info.Main.Path, info.Main.Version, info.GoVersion)
	return subcommands.ExitSuccess
}
