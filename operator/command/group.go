package command

import (
	"context"
	"flag"
	"fmt"

	"github.com/google/subcommands"

	"snipetally.example/operator/internal/link"
)

// runFunc runs a command with its arguments.
type runFunc func(ctx context.Context, client *link.Client, args []string) error

// command is a single command. It implements subcommands.Command.
type command struct {
	app      *app
	name     string
	synopsis string
	usage    string
	flags    func(*flag.FlagSet)
	run      runFunc
}

// Name implements subcommands.Command.
func (c *command) Name() string { return c.name }

// Synopsis implements subcommands.Command.
func (c *command) Synopsis() string { return c.synopsis }

// Usage implements subcommands.Command.
func (c *command) Usage() string { return c.usage + "\n  " + c.synopsis + "\n" }

// SetFlags implements subcommands.Command.
func (c *command) SetFlags(f *flag.FlagSet) {
	if c.flags != nil {
		c.flags(f)
	}
}

// Execute implements subcommands.Command.
func (c *command) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	client, err := c.app.newClient()
	if err != nil {
		return c.app.fail(err)
	}
	if err := c.run(ctx, client, f.Args()); err != nil {
		return c.app.fail(fmt.Errorf("%s: %w", c.name, err))
	}
	return subcommands.ExitSuccess
}

// commandGroup is a command with subcommands for one kind of document or for VMs.
// It implements subcommands.Command.
type commandGroup struct {
	app      *app
	name     string
	synopsis string
	commands []*command
}

// Name implements subcommands.Command.
func (g *commandGroup) Name() string { return g.name }

// Synopsis implements subcommands.Command.
func (g *commandGroup) Synopsis() string { return g.synopsis }

// Usage implements subcommands.Command.
func (g *commandGroup) Usage() string {
	text := g.name + " COMMAND\n"
	for _, c := range g.commands {
		text += "  " + c.usage + "\n"
	}
	return text
}

// SetFlags implements subcommands.Command.
func (*commandGroup) SetFlags(*flag.FlagSet) {}

// Execute implements subcommands.Command.
func (g *commandGroup) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	flags := flag.NewFlagSet(g.name, flag.ContinueOnError)
	flags.SetOutput(g.app.stderr)
	commander := subcommands.NewCommander(flags, g.name)
	commander.Output, commander.Error = g.app.stdout, g.app.stderr
	for _, c := range g.commands {
		commander.Register(c, "")
	}
	if err := flags.Parse(f.Args()); err != nil {
		return ExitUsage
	}
	return commander.Execute(ctx)
}
