// Command simadapter runs Balancers for the simulator: it reads batches of events from standard input and writes one reply
// for each batch to standard output. It makes no decisions itself.
package main

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"damsontrestle/internal/balancer"
	"damsontrestle/internal/wire"
)

func main() {
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintf(os.Stderr, "simadapter: %v\n", err)
		os.Exit(1)
	}
}

// run handles batches until the input ends. A reply is written completely or not at all.
func run(in io.Reader, out io.Writer) error {
	decoder := wire.NewDecoder(in)
	var reply bytes.Buffer
	encoder := wire.NewEncoder(&reply)
	balancers := map[int]*balancer.Balancer{}
	var now time.Duration
	for {
		message, err := decoder.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		switch message.Kind {
		case wire.BatchStart:
			now = message.Now
		case wire.InstanceStart:
			lb, err := balancer.New(message.Settings, message.Seed)
			if err != nil {
				return fmt.Errorf("instance %d: %w", message.Instance, err)
			}
			balancers[message.Instance] = lb
		case wire.InstanceKilled:
			delete(balancers, message.Instance)
		case wire.Event:
			if lb := balancers[message.Instance]; lb != nil {
				for _, action := range lb.Handle(now, message.Event) {
					encoder.Action(message.Instance, action)
				}
			}
		case wire.BatchEnd:
			if err := encoder.Flush(); err != nil {
				return err
			}
			if _, err := reply.WriteTo(out); err != nil {
				return err
			}
		}
	}
}
