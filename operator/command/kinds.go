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

// Kinds of documents, as the wire contract names them.
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
	commander.Register(a.presets(), "")
	commander.Register(a.documents(kindClass, "class", "request classes"), "")
	commander.Register(a.documents(kindTeam, "team", "teams and their contracts"), "")
	commander.Register(a.backends(), "")
	commander.Register(&group{app: a, name: "vm", synopsis: "router VMs", leaves: []*leaf{{
		app: a, name: "list", usage: "vm list", synopsis: "list the router VMs", work: a.vms,
	}}}, "")
	commander.Register(&leaf{
		app: a, name: "status", usage: "status", synopsis: "tell what is in force and where", work: a.status,
	}, "")
	commander.Register(&leaf{
		app: a, name: "dump", usage: "dump", synopsis: "print the state of the router",
		work: func(ctx context.Context, l *link.Client, _ []string) error {
			return l.Dump(ctx, a.out)
		},
	}, "")
}

func (a *app) presets() *group {
	g := a.documents(kindPreset, "preset", "presets, of which one is in force")
	c := &change{app: a}
	g.leaves = append(g.leaves, &leaf{
		app: a, name: "switch", usage: "preset switch [-wait] NAME", synopsis: "put a preset in force",
		flags: c.flags,
		work: func(ctx context.Context, l *link.Client, args []string) error {
			name, err := one(args)
			if err != nil {
				return err
			}
			return c.apply(ctx, l, &operators.Edit{Action: operators.Action_ACTION_FORCE, Kind: kindPreset, Name: name})
		},
	})
	return g
}

func (a *app) backends() *group {
	g := a.documents(kindServer, "backend", "backend servers")
	c := &change{app: a}
	g.leaves = append(g.leaves, &leaf{
		app: a, name: "retire", usage: "backend retire [-wait] NAME",
		synopsis: "give a backend server no new work and let it finish what it runs",
		flags:    c.flags,
		work: func(ctx context.Context, l *link.Client, args []string) error {
			name, err := one(args)
			if err != nil {
				return err
			}
			leaving := &operators.Field{Name: "leaving", Value: []byte("true")}
			return c.apply(ctx, l, &operators.Edit{
				Action: operators.Action_ACTION_SET,
				Kind:   kindServer,
				Name:   name,
				Fields: []*operators.Field{leaving},
			})
		},
	})
	return g
}

// documents returns the commands that every kind of document has.
func (a *app) documents(kind, name, synopsis string) *group {
	return &group{app: a, name: name, synopsis: synopsis, leaves: []*leaf{
		{app: a, name: "list", usage: name + " list", synopsis: "list all", work: a.list(kind)},
		{app: a, name: "show", usage: name + " show NAME", synopsis: "show one", work: a.show(kind)},
		a.edit(kind, name, "set", operators.Action_ACTION_SET, "change fields"),
		a.edit(kind, name, "add", operators.Action_ACTION_ADD, "add one"),
		a.edit(kind, name, "remove", operators.Action_ACTION_REMOVE, "remove one"),
	}}
}

// edit returns a command that changes one document.
func (a *app) edit(kind, group, name string, action operators.Action, synopsis string) *leaf {
	c := &change{app: a}
	return &leaf{
		app: a, name: name, usage: group + " " + name + " [-wait] NAME [FIELD=VALUE ...]", synopsis: synopsis,
		flags: c.flags,
		work: func(ctx context.Context, l *link.Client, args []string) error {
			if len(args) == 0 {
				return fmt.Errorf("a name is needed: %w", errUsage)
			}
			list, err := fields(args[1:])
			if err != nil {
				return err
			}
			return c.apply(ctx, l, &operators.Edit{Action: action, Kind: kind, Name: args[0], Fields: list})
		},
	}
}

func one(args []string) (string, error) {
	if len(args) != 1 {
		return "", fmt.Errorf("exactly one name is needed: %w", errUsage)
	}
	return args[0], nil
}

// list prints all documents of a kind.
func (a *app) list(kind string) work {
	return func(ctx context.Context, l *link.Client, _ []string) error {
		reply, err := l.List(ctx, &operators.ListRequest{Kind: kind})
		if err != nil {
			return link.MapReadError(err)
		}
		sheet := &output.Table{Columns: []string{"name", "revision", "content"}}
		for _, d := range reply.GetDocuments() {
			name := d.GetName()
			if kind == kindPreset && name == reply.GetForce() {
				name += " (in force)"
			}
			sheet.Rows = append(sheet.Rows, output.Row{name, number(d.GetRevision()), string(d.GetValue())})
		}
		return a.print(sheet)
	}
}

// show prints one document.
func (a *app) show(kind string) work {
	return func(ctx context.Context, l *link.Client, args []string) error {
		name, err := one(args)
		if err != nil {
			return err
		}
		reply, err := l.List(ctx, &operators.ListRequest{Kind: kind})
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
			_, _ = fmt.Fprintln(a.out, out.String())
			return nil
		}
		return fmt.Errorf("there is no %s %q: %w", kind, name, errUsage)
	}
}

func number(n uint64) string {
	return strconv.FormatUint(n, 10)
}

// vms prints the router VMs.
func (a *app) vms(ctx context.Context, l *link.Client, _ []string) error {
	status, err := l.Status(ctx, &operators.StatusRequest{})
	if err != nil {
		return link.MapReadError(err)
	}
	sheet := &output.Table{Columns: []string{"name", "address", "zone", "region", "state", "revision", "heard"}}
	for _, vm := range status.GetConfirmations() {
		sheet.Rows = append(sheet.Rows, output.Row{
			vm.GetName(), vm.GetAddress(), vm.GetZone(), vm.GetRegion(), vm.GetState(),
			number(vm.GetRevision()), age(vm.GetAgeMs()),
		})
	}
	return a.print(sheet)
}

// status prints what is in force and where it is not.
func (a *app) status(ctx context.Context, l *link.Client, _ []string) error {
	status, err := l.Status(ctx, &operators.StatusRequest{})
	if err != nil {
		return link.MapReadError(err)
	}
	sheet := &output.Table{Columns: []string{"item", "value"}}
	add := func(item, value string) {
		sheet.Rows = append(sheet.Rows, output.Row{item, value})
	}
	add("preset", status.GetForce())
	add("revision", number(status.GetRevision()))
	add("router", status.GetVm())
	add("ready", strconv.FormatBool(status.GetReady()))
	add("table", status.GetTable()+", "+age(status.GetTableAgeMs()))
	names := behind(status, status.GetRevision(), true)
	add("confirmed", fmt.Sprintf("%d of %d VMs", len(status.GetConfirmations())-len(names), len(status.GetConfirmations())))
	for _, name := range names {
		add("behind", name)
	}
	return a.print(sheet)
}
