package command

import (
	"context"
	"flag"
	"fmt"

	"github.com/google/subcommands"

	"snipetally.example/operator/internal/link"
)

// work is what a command does with its arguments.
type work func(ctx context.Context, l *link.Client, args []string) error

// leaf is one command.
type leaf struct {
	app      *app
	name     string
	synopsis string
	usage    string
	flags    func(*flag.FlagSet)
	work     work
}

// Name implements subcommands.Command.
func (c *leaf) Name() string { return c.name }

// Synopsis implements subcommands.Command.
func (c *leaf) Synopsis() string { return c.synopsis }

// Usage implements subcommands.Command.
func (c *leaf) Usage() string { return c.usage + "\n  " + c.synopsis + "\n" }

// SetFlags implements subcommands.Command.
func (c *leaf) SetFlags(f *flag.FlagSet) {
	if c.flags != nil {
		c.flags(f)
	}
}

// Execute implements subcommands.Command.
func (c *leaf) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	l, err := c.app.connect()
	if err != nil {
		return c.app.fail(err)
	}
	if err := c.work(ctx, l, f.Args()); err != nil {
		return c.app.fail(fmt.Errorf("%s: %w", c.name, err))
	}
	return subcommands.ExitSuccess
}

// group is a set of commands about one kind of thing.
type group struct {
	app      *app
	name     string
	synopsis string
	leaves   []*leaf
}

// Name implements subcommands.Command.
func (g *group) Name() string { return g.name }

// Synopsis implements subcommands.Command.
func (g *group) Synopsis() string { return g.synopsis }

// Usage implements subcommands.Command.
func (g *group) Usage() string {
	text := g.name + " COMMAND\n"
	for _, leaf := range g.leaves {
		text += "  " + leaf.usage + "\n"
	}
	return text
}

// SetFlags implements subcommands.Command.
func (*group) SetFlags(*flag.FlagSet) {}

// Execute implements subcommands.Command.
func (g *group) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	inner := flag.NewFlagSet(g.name, flag.ContinueOnError)
	inner.SetOutput(g.app.err)
	commander := subcommands.NewCommander(inner, g.name)
	commander.Output, commander.Error = g.app.out, g.app.err
	for _, leaf := range g.leaves {
		commander.Register(leaf, "")
	}
	if err := inner.Parse(f.Args()); err != nil {
		return ExitUsage
	}
	return commander.Execute(ctx)
}
