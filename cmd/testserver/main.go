// Command testserver is a stand-in for a log server: it answers HTTP/1.1 with a stated service time and faults,
// and tells at its end what it did. The body of a good answer is its name and the request's id.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"damsontrestle/internal/testpeer"
)

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintf(os.Stderr, "testserver: %v\n", err)
		os.Exit(1)
	}
}

func run(args []string) error {
	f := flag.NewFlagSet("testserver", flag.ContinueOnError)
	var o testpeer.BoxOptions
	listen := f.String("listen", "127.0.0.1:9001", "addresses to listen at, with commas; each is a box of its own")
	f.StringVar(&o.Name, "name", "box", "the name in its answers; several are numbered")
	f.DurationVar(&o.Service, "service", 20*time.Millisecond, "mean time that a request takes")
	f.IntVar(&o.Room, "room", 0, "requests at once, beyond which it refuses; 0: any number")
	f.Float64Var(&o.Faults.Fail, "fail", 0, "share of requests that it answers with 500")
	f.Float64Var(&o.Faults.Refuse, "refuse", 0, "share that it refuses without running them")
	f.Float64Var(&o.Faults.Reset, "reset", 0, "share whose connection it resets after running them")
	f.Float64Var(&o.Faults.Cut, "cut", 0, "share whose answer it cuts short")
	f.Float64Var(&o.Faults.Hang, "hang", 0, "share that it never answers")
	f.Uint64Var(&o.Seed, "seed", 1, "for what it draws")
	if err := f.Parse(args); err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	var servers []*testpeer.Box
	name := o.Name
	for i, address := range strings.Split(*listen, ",") {
		if strings.Contains(*listen, ",") {
			o.Name = fmt.Sprintf("%s-%d", name, i+1)
		}
		o.Seed += uint64(i)
		b := testpeer.NewBox(o)
		s, err := testpeer.Listen(address, b.Serve)
		if err != nil {
			return err
		}
		defer s.Close()
		fmt.Printf("%s listens at %s\n", o.Name, s.Address())
		servers = append(servers, b)
	}
	<-ctx.Done()
	for _, b := range servers {
		c := b.Counts()
		fmt.Printf("%s: %d requests, %d run, %d failed, %d refused, %d reset, %d cut, %d hung\n", b.Name(), c.Requests, c.Ran, c.Failed, c.Refused, c.Reset, c.Cut, c.Hung)
	}
	return nil
}
