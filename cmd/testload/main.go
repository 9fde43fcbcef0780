// Command testload stands in for clients: it sends views and notes to nodes and tells what it heard.
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
	f := flag.NewFlagSet("testload", flag.ContinueOnError)
	to := f.String("to", "127.0.0.1:7070", "the nodes' addresses, with commas")
	view := f.String("view", "view-interval", "the class of calls that may be repeated")
	note := f.String("note", "add-note", "the class of those that may not")
	l := testpeer.Load{Audit: testpeer.NewAudit()}
	f.IntVar(&l.Callers, "callers", 8, "callers, each with one call at a time")
	f.Float64Var(&l.Notes, "notes", 0.5, "share of calls that are notes")
	f.DurationVar(&l.Deadline, "deadline", 4*time.Second, "how long a caller waits")
	f.DurationVar(&l.Pause, "pause", 10*time.Millisecond, "mean, between the calls of a caller")
	f.Uint64Var(&l.Seed, "seed", 1, "for what it draws")
	f.StringVar(&l.Prefix, "prefix", "load-", "of the calls' ids")
	took := f.Duration("for", 5*time.Second, "how long to go on; 0: one call, whose answer is written")
	if err := f.Parse(args); err != nil {
		return err
	}
	addresses := strings.Split(*to, ",")
	l.Addresses = func() []string { return addresses }
	l.View, l.Note = *view, *note
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if *took == 0 {
		text, err := l.One()
		if err != nil {
			return err
		}
		fmt.Print(text)
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, *took)
	defer cancel()
	begin := time.Now()
	l.Run(ctx)
	v := l.Audit.Heard()
	slices.Sort(v.Times)
	at := func(q float64) time.Duration {
		if len(v.Times) == 0 {
			return 0
		}
		return v.Times[int(q*float64(len(v.Times)-1))].Round(10 * time.Microsecond)
	}
	fmt.Printf("%d calls in %v: %d served, %d refused, %d failed, %d not taken; served in %v median, %v 99th percentile\n",
		v.Calls, time.Since(begin).Round(time.Millisecond), v.Served, v.Refused, v.Failed, v.NotTaken, at(0.5), at(0.99))
	for _, w := range v.Wrong {
		fmt.Println("wrong:", w)
	}
	if len(v.Wrong) > 0 {
		return fmt.Errorf("%d calls heard what they should not", len(v.Wrong))
	}
	return nil
}
