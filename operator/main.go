// Command snipetally is the operators' command line. It shows and changes the
// configuration of the routers.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"snipetally.example/operator/command"
)

func main() {
	os.Exit(run())
}

// run runs the command line until it ends or is interrupted, and returns the exit
// code.
func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return command.Run(ctx, os.Args, os.Stdout, os.Stderr)
}
