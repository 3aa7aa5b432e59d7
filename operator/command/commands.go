package command

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"strconv"

	"github.com/google/subcommands"

	"snipetally.example/operator/internal/link"
	"snipetally.example/operator/internal/output"
	"snipetally.example/wire/operators"
)

// Kinds of documents, as they are named on the wire.
const (
	kindClass  = "class"
	kindPreset = "preset"
	kindTeam   = "team"
	kindServer = "server"
)

// register adds every command.
func (a *app) register(commander *subcommands.Commander) {
	commander.Register(commander.HelpCommand(), "")
	commander.Register(commander.FlagsCommand(), "")
	commander.Register(a.presetCommands(), "")
	commander.Register(a.documentCommands(kindClass, "class", "request classes"), "")
	commander.Register(a.documentCommands(kindTeam, "team", "teams and their contracts"), "")
	commander.Register(a.backendCommands(), "")
	commander.Register(&commandGroup{app: a, name: "vm", synopsis: "router VMs", commands: []*command{{
		app: a, name: "list", usage: "vm list", synopsis: "list the router VMs", run: a.printVMs,
	}}}, "")
	commander.Register(&command{
		app: a, name: "status", usage: "status", synopsis: "show what is in force and where", run: a.printStatus,
	}, "")
	commander.Register(&command{
		app: a, name: "dump", usage: "dump", synopsis: "print the state of the router",
		run: func(ctx context.Context, client *link.Client, _ []string) error {
			return client.Dump(ctx, a.stdout)
		},
	}, "")
}

// presetCommands returns the commands for presets.
func (a *app) presetCommands() *commandGroup {
	g := a.documentCommands(kindPreset, "preset", "presets, of which one is in force")
	c := &changeCommand{app: a}
	g.commands = append(g.commands, &command{
		app: a, name: "switch", usage: "preset switch [-wait] NAME", synopsis: "put a preset in force",
		flags: c.addFlags,
		run: func(ctx context.Context, client *link.Client, args []string) error {
			name, err := oneName(args)
			if err != nil {
				return err
			}
			return c.apply(ctx, client, &operators.Edit{Action: operators.Action_ACTION_FORCE, Kind: kindPreset, Name: name})
		},
	})
	return g
}

// backendCommands returns the commands for backend servers.
func (a *app) backendCommands() *commandGroup {
	g := a.documentCommands(kindServer, "backend", "backend servers")
	c := &changeCommand{app: a}
	g.commands = append(g.commands, &command{
		app: a, name: "retire", usage: "backend retire [-wait] NAME",
		synopsis: "drain a backend server: it gets no new work and finishes what it runs",
		flags:    c.addFlags,
		run: func(ctx context.Context, client *link.Client, args []string) error {
			name, err := oneName(args)
			if err != nil {
				return err
			}
			draining := &operators.Field{Name: "leaving", Value: []byte("true")}
			return c.apply(ctx, client, &operators.Edit{
				Action: operators.Action_ACTION_SET,
				Kind:   kindServer,
				Name:   name,
				Fields: []*operators.Field{draining},
			})
		},
	})
	return g
}

// documentCommands returns the group of the commands that every kind of document
// has.
func (a *app) documentCommands(kind, name, synopsis string) *commandGroup {
	return &commandGroup{app: a, name: name, synopsis: synopsis, commands: []*command{
		{app: a, name: "list", usage: name + " list", synopsis: "list all", run: a.listCommand(kind)},
		{app: a, name: "show", usage: name + " show NAME", synopsis: "show one", run: a.showCommand(kind)},
		a.editCommand(kind, name, "set", operators.Action_ACTION_SET, "change fields"),
		a.editCommand(kind, name, "add", operators.Action_ACTION_ADD, "add one"),
		a.editCommand(kind, name, "remove", operators.Action_ACTION_REMOVE, "remove one"),
	}}
}

// editCommand returns a command that changes one document.
func (a *app) editCommand(kind, group, name string, action operators.Action, synopsis string) *command {
	c := &changeCommand{app: a}
	return &command{
		app: a, name: name, usage: group + " " + name + " [-wait] NAME [FIELD=VALUE ...]", synopsis: synopsis,
		flags: c.addFlags,
		run: func(ctx context.Context, client *link.Client, args []string) error {
			if len(args) == 0 {
				return fmt.Errorf("a name is required: %w", errUsage)
			}
			fields, err := parseFields(args[1:])
			if err != nil {
				return err
			}
			return c.apply(ctx, client, &operators.Edit{Action: action, Kind: kind, Name: args[0], Fields: fields})
		},
	}
}

// oneName returns the only argument, which is a name.
func oneName(args []string) (string, error) {
	if len(args) != 1 {
		return "", fmt.Errorf("exactly one name is required: %w", errUsage)
	}
	return args[0], nil
}

// listCommand returns the function that prints all documents of a kind.
func (a *app) listCommand(kind string) runFunc {
	return func(ctx context.Context, client *link.Client, _ []string) error {
		reply, err := client.List(ctx, &operators.ListRequest{Kind: kind})
		if err != nil {
			return link.MapReadError(err)
		}
		table := &output.Table{Columns: []string{"name", "revision", "content"}}
		for _, d := range reply.GetDocuments() {
			name := d.GetName()
			if kind == kindPreset && name == reply.GetForce() {
				name += " (in force)"
			}
			table.Rows = append(table.Rows, output.Row{name, formatRevision(d.GetRevision()), string(d.GetValue())})
		}
		return a.printTable(table)
	}
}

// showCommand returns the function that prints one document of a kind.
func (a *app) showCommand(kind string) runFunc {
	return func(ctx context.Context, client *link.Client, args []string) error {
		name, err := oneName(args)
		if err != nil {
			return err
		}
		reply, err := client.List(ctx, &operators.ListRequest{Kind: kind})
		if err != nil {
			return link.MapReadError(err)
		}
		for _, d := range reply.GetDocuments() {
			if d.GetName() != name {
				continue
			}
			var out bytes.Buffer
			if err := json.Indent(&out, d.GetValue(), "", "  "); err != nil {
				return fmt.Errorf("print document: %w", err)
			}
			_, _ = fmt.Fprintln(a.stdout, out.String())
			return nil
		}
		return fmt.Errorf("%s %q does not exist: %w", kind, name, errUsage)
	}
}

// formatRevision formats a revision in decimal.
func formatRevision(n uint64) string {
	return strconv.FormatUint(n, 10)
}

// printVMs prints the router VMs.
func (a *app) printVMs(ctx context.Context, client *link.Client, _ []string) error {
	status, err := client.Status(ctx, &operators.StatusRequest{})
	if err != nil {
		return link.MapReadError(err)
	}
	table := &output.Table{Columns: []string{"name", "address", "zone", "region", "state", "revision", "heard"}}
	for _, vm := range status.GetConfirmations() {
		table.Rows = append(table.Rows, output.Row{
			vm.GetName(), vm.GetAddress(), vm.GetZone(), vm.GetRegion(), vm.GetState(),
			formatRevision(vm.GetRevision()), formatAge(vm.GetAgeMs()),
		})
	}
	return a.printTable(table)
}

// printStatus prints the preset and the revision that are in force and the VMs that
// have not confirmed the revision.
func (a *app) printStatus(ctx context.Context, client *link.Client, _ []string) error {
	status, err := client.Status(ctx, &operators.StatusRequest{})
	if err != nil {
		return link.MapReadError(err)
	}
	table := &output.Table{Columns: []string{"item", "value"}}
	add := func(item, value string) {
		table.Rows = append(table.Rows, output.Row{item, value})
	}
	add("preset", status.GetForce())
	add("revision", formatRevision(status.GetRevision()))
	add("router", status.GetVm())
	add("ready", strconv.FormatBool(status.GetReady()))
	add("table", status.GetTable()+", "+formatAge(status.GetTableAgeMs()))
	names := unconfirmedVMs(status, status.GetRevision(), true)
	add("confirmed", fmt.Sprintf("%d of %d VMs", len(status.GetConfirmations())-len(names), len(status.GetConfirmations())))
	for _, name := range names {
		add("behind", name)
	}
	return a.printTable(table)
}
