// Command try runs a small deployment in one process, sends it a mixed minute
// of traffic and tells what the callers got and which promises were kept.
package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	stdlog "log"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/oklog/run"

	"snipetally.example/try/internal/report"
	"snipetally.example/try/internal/site"
	"snipetally.example/try/internal/trial"
)

func main() {
	os.Exit(start())
}

// start reads the command line, runs the trial and returns the exit code.
func start() int {
	listen := flag.String("listen", "", "the first router's address for callers")
	stay := flag.Bool("stay", false, "keep serving after the trial until interrupted")
	length := flag.Duration("length", trial.DefaultDuration, "how long traffic is sent")
	seed := flag.Uint64("seed", 1, "the seed of the traffic")
	scale := flag.Float64("scale", 1, "factor by which the rates of the traffic are multiplied")
	verbose := flag.Bool("verbose", false, "print the routers' logs")
	// A library that is linked in sets a usage of its own.
	flag.CommandLine.Usage = func() {
		_, _ = fmt.Fprintln(flag.CommandLine.Output(), "usage: try [flags]")
		flag.PrintDefaults()
	}
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	// The HTTP library prints what arrives unasked on idle connections.
	stdlog.SetOutput(io.Discard)
	log := io.Discard
	if *verbose {
		log = os.Stderr
	}
	kept, err := try(ctx, options{*listen, *stay, *length, *seed, *scale, log})
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	if !kept {
		return 1
	}
	return 0
}

type options struct {
	listen string
	stay   bool
	length time.Duration
	seed   uint64
	scale  float64
	log    io.Writer
}

// try runs the trial and reports whether every promise was kept.
func try(ctx context.Context, o options) (bool, error) {
	s, err := site.New(ctx, o.listen, o.log)
	if err != nil {
		return false, fmt.Errorf("lay out site: %w", err)
	}
	var result *report.Report
	var group run.Group
	own, cancel := context.WithCancel(ctx)
	group.Add(func() error {
		return s.Run(own)
	}, func(error) {
		cancel()
	})
	group.Add(func() error {
		var err error
		result, err = trial.Run(own, s, trial.Options{Duration: o.length, Seed: o.seed, Scale: o.scale})
		if err != nil {
			return fmt.Errorf("run trial: %w", err)
		}
		if err := result.Write(os.Stdout); err != nil {
			return fmt.Errorf("report: %w", err)
		}
		if o.stay {
			fmt.Printf("\nserving until interrupted; try:\n%s\n", s.CurlExample())
			<-own.Done()
		}
		return nil
	}, func(error) {
		cancel()
	})
	if err := group.Run(); err != nil {
		return false, fmt.Errorf("run: %w", err)
	}
	return result != nil && result.GuaranteesHeld(), nil
}
