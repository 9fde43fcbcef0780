// Command testload simulates clients: it sends reads and writes to nodes and prints the outcomes.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"slices"
	"strings"
	"syscall"
	"time"

	"damsontrestle/internal/testpeer"
)

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintf(os.Stderr, "testload: %v\n", err)
		os.Exit(1)
	}
}

func run(args []string) error {
	flags := flag.NewFlagSet("testload", flag.ContinueOnError)
	to := flags.String("to", "127.0.0.1:7070", "comma-separated addresses of the nodes")
	view := flags.String("view", "view-interval", "class of the requests that may be retried (reads)")
	note := flags.String("note", "add-note", "class of the requests that may not be retried (writes)")
	load := testpeer.Load{Audit: testpeer.NewAudit()}
	flags.IntVar(&load.Callers, "callers", 8, "number of clients, each with one request at a time")
	flags.Float64Var(&load.Notes, "notes", 0.5, "share of requests of the -note class")
	flags.DurationVar(&load.Deadline, "deadline", 4*time.Second, "deadline of each request")
	flags.DurationVar(&load.Pause, "pause", 10*time.Millisecond, "mean pause between the requests of a client")
	flags.Uint64Var(&load.Seed, "seed", 1, "seed of the random number generator")
	flags.StringVar(&load.Prefix, "prefix", "load-", "prefix of the request ids")
	duration := flags.Duration("for", 5*time.Second, "duration of the load; 0: send one request and print its response")
	if err := flags.Parse(args); err != nil {
		return err
	}
	addresses := strings.Split(*to, ",")
	load.Addresses = func() []string { return addresses }
	load.View, load.Note = *view, *note
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if *duration == 0 {
		text, err := load.One()
		if err != nil {
			return err
		}
		fmt.Print(text)
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, *duration)
	defer cancel()
	begin := time.Now()
	load.Run(ctx)
	totals := load.Audit.Heard()
	slices.Sort(totals.Times)
	percentile := func(q float64) time.Duration {
		if len(totals.Times) == 0 {
			return 0
		}
		return totals.Times[int(q*float64(len(totals.Times)-1))].Round(10 * time.Microsecond)
	}
	fmt.Printf("%d calls in %v: %d served, %d refused, %d failed, %d not taken; served in %v median, %v 99th percentile\n",
		totals.Calls, time.Since(begin).Round(time.Millisecond), totals.Served, totals.Refused, totals.Failed, totals.NotTaken, percentile(0.5), percentile(0.99))
	for _, wrong := range totals.Wrong {
		fmt.Println("wrong:", wrong)
	}
	if len(totals.Wrong) > 0 {
		return fmt.Errorf("%d requests got a wrong response", len(totals.Wrong))
	}
	return nil
}
