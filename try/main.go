// Command try runs a small deployment in one process, sends mixed traffic to it
// and prints what the callers received and which guarantees held.
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
	os.Exit(execute())
}

// execute parses the command line, runs the trial and returns the exit code.
func execute() int {
	listen := flag.String("listen", "", "the first router's address for callers")
	keepServing := flag.Bool("stay", false, "keep serving after the trial until interrupted")
	duration := flag.Duration("length", trial.DefaultDuration, "how long traffic is sent")
	seed := flag.Uint64("seed", 1, "the seed of the traffic")
	scale := flag.Float64("scale", 1, "factor by which the rates of the traffic are multiplied")
	verbose := flag.Bool("verbose", false, "print the routers' logs")
	// A dependency replaces flag.CommandLine.Usage.
	flag.CommandLine.Usage = func() {
		_, _ = fmt.Fprintln(flag.CommandLine.Output(), "usage: try [flags]")
		flag.PrintDefaults()
	}
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	// net/http logs unsolicited data that arrives on idle connections.
	stdlog.SetOutput(io.Discard)
	log := io.Discard
	if *verbose {
		log = os.Stderr
	}
	held, err := runTrial(ctx, options{*listen, *keepServing, *duration, *seed, *scale, log})
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	if !held {
		return 1
	}
	return 0
}

type options struct {
	listen      string
	keepServing bool
	duration    time.Duration
	seed        uint64
	scale       float64
	log         io.Writer
}

// runTrial runs the trial and reports whether every guarantee held.
func runTrial(ctx context.Context, o options) (bool, error) {
	s, err := site.New(ctx, o.listen, o.log)
	if err != nil {
		return false, fmt.Errorf("set up site: %w", err)
	}
	var result *report.Report
	var group run.Group
	trialCtx, cancel := context.WithCancel(ctx)
	group.Add(func() error {
		return s.Run(trialCtx)
	}, func(error) {
		cancel()
	})
	group.Add(func() error {
		var err error
		result, err = trial.Run(trialCtx, s, trial.Options{Duration: o.duration, Seed: o.seed, Scale: o.scale})
		if err != nil {
			return fmt.Errorf("run trial: %w", err)
		}
		if err := result.Write(os.Stdout); err != nil {
			return fmt.Errorf("write report: %w", err)
		}
		if o.keepServing {
			fmt.Printf("\nserving until interrupted; try:\n%s\n", s.CurlExample())
			<-trialCtx.Done()
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
