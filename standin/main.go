// Command snipetally-standin runs a fake of one of the systems around the router:
// a model engine, a plain service, the table service, the object store or the VM
// list.
package main

import (
	"context"
	"flag"
	"os"
	"os/signal"
	"syscall"

	"github.com/google/subcommands"

	"snipetally.example/standin/internal/command"
)

func main() {
	os.Exit(int(execute()))
}

// execute runs the subcommand in the arguments until it ends or an interrupt or
// SIGTERM arrives.
func execute() subcommands.ExitStatus {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	command.Register(subcommands.DefaultCommander)
	flag.Parse()
	return subcommands.Execute(ctx)
}
