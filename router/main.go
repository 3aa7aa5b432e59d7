// Command snipetally-router is the router daemon. It runs on a router VM and
// forwards requests from callers to backend servers.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"snipetally.example/router/internal/command"
)

func main() {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	os.Exit(command.Run(context.Background(), os.Args, signals))
}
