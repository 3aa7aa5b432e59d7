// Package command holds the commands of snipetally-standin. Each one serves a
// stand-in on an address until the context ends. It imports the stand-ins and
// google/subcommands.
package command

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/google/subcommands"

	"snipetally.example/standin/engine"
	"snipetally.example/standin/platform"
	"snipetally.example/standin/service"
)

const headerTimeout = 10 * time.Second

// Register adds all commands to the commander.
func Register(commander *subcommands.Commander) {
	commander.Register(commander.HelpCommand(), "")
	commander.Register(commander.FlagsCommand(), "")
	commander.Register(&engineCommand{}, "")
	commander.Register(&serviceCommand{}, "")
	commander.Register(&tableCommand{}, "")
	commander.Register(&vmsCommand{}, "")
	commander.Register(&objectsCommand{}, "")
}

// engineCommand serves a model engine.
type engineCommand struct {
	listen string
	models string
	config engine.Config
}

// Name implements subcommands.Command.
func (*engineCommand) Name() string { return "engine" }

// Synopsis implements subcommands.Command.
func (*engineCommand) Synopsis() string { return "serve a model engine" }

// Usage implements subcommands.Command.
func (*engineCommand) Usage() string { return "engine -listen ADDRESS [-models a,b] [-slots N]\n" }

// SetFlags implements subcommands.Command.
func (c *engineCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.listen, "listen", "127.0.0.1:0", "IP address and port to serve on")
	f.StringVar(&c.models, "models", "", "loaded models, separated by commas; empty serves each model")
	f.IntVar(&c.config.Slots, "slots", 0, "requests that run at once")
	f.DurationVar(&c.config.TokenLatency, "pace", 0, "time for a token")
	f.Float64Var(&c.config.BatchSlowdown, "slowdown", 0, "fraction of the pace that each further request adds")
	f.DurationVar(&c.config.ReportDelay, "lag", 0, "age of the reported load and cache events")
	f.DurationVar(&c.config.OrphanTimeout, "orphan", 0, "how long a request runs on without a reader; 0 to its end")
	f.BoolVar(&c.config.SupportsFencing, "fenced", false, "refuse orders with an old fencing number")
}

// Execute implements subcommands.Command.
func (c *engineCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	if c.models != "" {
		c.config.Models = strings.Split(c.models, ",")
	}
	e := engine.New(c.config)
	defer e.Close()
	return serve(ctx, c.listen, e.Serve)
}

// serviceCommand serves a plain service.
type serviceCommand struct {
	listen string
	config service.Config
}

// Name implements subcommands.Command.
func (*serviceCommand) Name() string { return "service" }

// Synopsis implements subcommands.Command.
func (*serviceCommand) Synopsis() string { return "serve a plain service" }

// Usage implements subcommands.Command.
func (*serviceCommand) Usage() string { return "service -listen ADDRESS [-delay D] [-tells]\n" }

// SetFlags implements subcommands.Command.
func (c *serviceCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.listen, "listen", "127.0.0.1:0", "IP address and port to serve on")
	f.DurationVar(&c.config.Delay, "delay", 0, "time that a call takes")
	f.BoolVar(&c.config.ReportsStatus, "tells", false, "run an attempt once and answer where it stands")
}

// Execute implements subcommands.Command.
func (c *serviceCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return serve(ctx, c.listen, service.New(c.config).Serve)
}

// tableCommand serves the table service.
type tableCommand struct {
	listen string
	delay  time.Duration
}

// Name implements subcommands.Command.
func (*tableCommand) Name() string { return "table" }

// Synopsis implements subcommands.Command.
func (*tableCommand) Synopsis() string { return "serve a table in memory" }

// Usage implements subcommands.Command.
func (*tableCommand) Usage() string { return "table -listen ADDRESS [-delay D]\n" }

// SetFlags implements subcommands.Command.
func (c *tableCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.listen, "listen", "127.0.0.1:0", "IP address and port to serve on")
	f.DurationVar(&c.delay, "delay", 0, "time that a call takes")
}

// Execute implements subcommands.Command.
func (c *tableCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	t := platform.NewTableService()
	t.SetDelay(c.delay)
	return serve(ctx, c.listen, plain(t))
}

// objectsCommand serves the object store.
type objectsCommand struct {
	listen string
}

// Name implements subcommands.Command.
func (*objectsCommand) Name() string { return "objects" }

// Synopsis implements subcommands.Command.
func (*objectsCommand) Synopsis() string { return "serve an object store in memory" }

// Usage implements subcommands.Command.
func (*objectsCommand) Usage() string { return "objects -listen ADDRESS\n" }

// SetFlags implements subcommands.Command.
func (c *objectsCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.listen, "listen", "127.0.0.1:0", "IP address and port to serve on")
}

// Execute implements subcommands.Command.
func (c *objectsCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return serve(ctx, c.listen, plain(platform.NewObjectStore()))
}

// vmsCommand serves the VM list.
type vmsCommand struct {
	listen string
	lag    time.Duration
}

// Name implements subcommands.Command.
func (*vmsCommand) Name() string { return "vms" }

// Synopsis implements subcommands.Command.
func (*vmsCommand) Synopsis() string { return "serve a VM list" }

// Usage implements subcommands.Command.
func (*vmsCommand) Usage() string {
	return "vms -listen ADDRESS [-lag D] NAME=ADDRESS=ZONE=REGION ...\n"
}

// SetFlags implements subcommands.Command.
func (c *vmsCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.listen, "listen", "127.0.0.1:0", "IP address and port to serve on")
	f.DurationVar(&c.lag, "lag", 0, "how late the list shows changes")
}

// Execute implements subcommands.Command.
func (c *vmsCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	var vms []platform.VM
	for _, text := range f.Args() {
		vm, ok := parseVM(text)
		if !ok {
			fmt.Fprintf(os.Stderr, "not NAME=ADDRESS=ZONE=REGION: %q\n", text)
			return subcommands.ExitUsageError
		}
		vms = append(vms, vm)
	}
	return serve(ctx, c.listen, plain(platform.NewVMList(c.lag, vms...)))
}

// parseVM reads one live VM.
func parseVM(text string) (platform.VM, bool) {
	fields := strings.Split(text, "=")
	if len(fields) != 4 {
		return platform.VM{}, false
	}
	return platform.VM{
		Name:    fields[0],
		Address: fields[1],
		Zone:    fields[2],
		Region:  fields[3],
		State:   platform.VMLive,
	}, true
}

// server serves on a listener until the context ends.
type server func(ctx context.Context, l net.Listener) error

// plain serves a handler that needs no control of its connections.
func plain(handler http.Handler) server {
	return func(ctx context.Context, l net.Listener) error {
		s := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
		stop := context.AfterFunc(ctx, func() { _ = s.Close() })
		defer stop()
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return fmt.Errorf("serve: %w", err)
		}
		return nil
	}
}

// serve listens, prints the address and serves until the context ends.
func serve(ctx context.Context, address string, run server) subcommands.ExitStatus {
	var config net.ListenConfig
	l, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	fmt.Printf("listening on %s\n", l.Addr())
	if err := run(ctx, l); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}
