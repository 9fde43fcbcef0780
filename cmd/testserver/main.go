// Command testserver simulates a log server: it serves HTTP/1.1 with a configurable service time and fault rates,
// and prints its request counts when it stops. The body of a successful reply is the server's name and the request's id.
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
	flags := flag.NewFlagSet("testserver", flag.ContinueOnError)
	var options testpeer.BoxOptions
	listen := flags.String("listen", "127.0.0.1:9001", "comma-separated addresses to listen at; each is a server of its own")
	flags.StringVar(&options.Name, "name", "box", "the name in replies; numbered if there are several servers")
	flags.DurationVar(&options.Service, "service", 20*time.Millisecond, "mean service time of a request")
	flags.IntVar(&options.Room, "room", 0, "concurrent requests, beyond which requests are rejected; 0: no limit")
	flags.Float64Var(&options.Faults.Fail, "fail", 0, "share of requests answered with 500")
	flags.Float64Var(&options.Faults.Refuse, "refuse", 0, "share of requests rejected without being run")
	flags.Float64Var(&options.Faults.Reset, "reset", 0, "share of requests whose connection is reset after they ran")
	flags.Float64Var(&options.Faults.Cut, "cut", 0, "share of requests whose reply is truncated")
	flags.Float64Var(&options.Faults.Hang, "hang", 0, "share of requests that are never answered")
	flags.Uint64Var(&options.Seed, "seed", 1, "seed of the random number generator")
	if err := flags.Parse(args); err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	var servers []*testpeer.Box
	name := options.Name
	for i, address := range strings.Split(*listen, ",") {
		if strings.Contains(*listen, ",") {
			options.Name = fmt.Sprintf("%s-%d", name, i+1)
		}
		options.Seed += uint64(i)
		server := testpeer.NewBox(options)
		listener, err := testpeer.Listen(address, server.Serve)
		if err != nil {
			return err
		}
		defer listener.Close()
		fmt.Printf("%s listens at %s\n", options.Name, listener.Address())
		servers = append(servers, server)
	}
	<-ctx.Done()
	for _, server := range servers {
		counts := server.Counts()
		fmt.Printf("%s: %d requests, %d run, %d failed, %d refused, %d reset, %d cut, %d hung\n", server.Name(), counts.Requests, counts.Ran, counts.Failed, counts.Refused, counts.Reset, counts.Cut, counts.Hung)
	}
	return nil
}
