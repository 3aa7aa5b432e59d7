// Package command implements the subcommands of snipetally-standin. Each one serves
// one fake on an address until its context ends. It imports the packages with the
// fakes and google/subcommands.
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

// Register adds all subcommands to the commander.
func Register(commander *subcommands.Commander) {
	commander.Register(commander.HelpCommand(), "")
	commander.Register(commander.FlagsCommand(), "")
	commander.Register(&engineCommand{}, "")
	commander.Register(&serviceCommand{}, "")
	commander.Register(&tableCommand{}, "")
	commander.Register(&vmsCommand{}, "")
	commander.Register(&objectsCommand{}, "")
}

// engineCommand serves a fake model engine.
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
	f.StringVar(&c.models, "models", "", "comma-separated list of loaded models; if empty, serve every model")
	f.IntVar(&c.config.Slots, "slots", 0, "number of requests that run concurrently")
	f.DurationVar(&c.config.TokenLatency, "pace", 0, "time to generate one token")
	f.Float64Var(&c.config.BatchSlowdown, "slowdown", 0, "fraction of -pace that each further running request adds to the time for a token")
	f.DurationVar(&c.config.ReportDelay, "lag", 0, "age of the reported load and cache events")
	f.DurationVar(&c.config.OrphanTimeout, "orphan", 0, "time after which a request without a reader is canceled; 0 lets it run to completion")
	f.BoolVar(&c.config.SupportsFencing, "fenced", false, "refuse orders with an outdated fencing token")
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

// serviceCommand serves a fake plain service.
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
	f.BoolVar(&c.config.ReportsStatus, "tells", false, "run each attempt at most once and report the state of attempts")
}

// Execute implements subcommands.Command.
func (c *serviceCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return serve(ctx, c.listen, service.New(c.config).Serve)
}

// tableCommand serves a fake of the table service.
type tableCommand struct {
	listen string
	delay  time.Duration
}

// Name implements subcommands.Command.
func (*tableCommand) Name() string { return "table" }

// Synopsis implements subcommands.Command.
func (*tableCommand) Synopsis() string { return "serve an in-memory table service" }

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
	return serve(ctx, c.listen, serveHandler(t))
}

// objectsCommand serves a fake of the object store.
type objectsCommand struct {
	listen string
}

// Name implements subcommands.Command.
func (*objectsCommand) Name() string { return "objects" }

// Synopsis implements subcommands.Command.
func (*objectsCommand) Synopsis() string { return "serve an in-memory object store" }

// Usage implements subcommands.Command.
func (*objectsCommand) Usage() string { return "objects -listen ADDRESS\n" }

// SetFlags implements subcommands.Command.
func (c *objectsCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.listen, "listen", "127.0.0.1:0", "IP address and port to serve on")
}

// Execute implements subcommands.Command.
func (c *objectsCommand) Execute(ctx context.Context, _ *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	return serve(ctx, c.listen, serveHandler(platform.NewObjectStore()))
}

// vmsCommand serves a fake of the VM list.
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
	f.DurationVar(&c.lag, "lag", 0, "time after which the list shows changes")
}

// Execute implements subcommands.Command.
func (c *vmsCommand) Execute(ctx context.Context, f *flag.FlagSet, _ ...any) subcommands.ExitStatus {
	var vms []platform.VM
	for _, text := range f.Args() {
		vm, ok := parseVM(text)
		if !ok {
			fmt.Fprintf(os.Stderr, "invalid VM %q: want NAME=ADDRESS=ZONE=REGION\n", text)
			return subcommands.ExitUsageError
		}
		vms = append(vms, vm)
	}
	return serve(ctx, c.listen, serveHandler(platform.NewVMList(c.lag, vms...)))
}

// parseVM parses NAME=ADDRESS=ZONE=REGION. The VM is live.
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

// serveFunc serves on a listener until ctx ends.
type serveFunc func(ctx context.Context, l net.Listener) error

// serveHandler returns a function that serves a handler with a plain HTTP server,
// without faults at connection level.
func serveHandler(handler http.Handler) serveFunc {
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

// serve listens on the address, prints the resulting address and serves until ctx
// ends.
func serve(ctx context.Context, address string, run serveFunc) subcommands.ExitStatus {
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
