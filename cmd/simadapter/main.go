// Command simadapter hosts Balancers on the simulator's wire: batches of events on standard input, one reply for each on
// standard output. It decides nothing itself.
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

// run serves batches until the input ends. A reply is written as a whole or not at all.
func run(in io.Reader, out io.Writer) error {
	dec := wire.NewDecoder(in)
	var reply bytes.Buffer
	enc := wire.NewEncoder(&reply)
	hosted := map[int]*balancer.Balancer{}
	var now time.Duration
	for {
		m, err := dec.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		switch m.Kind {
		case wire.Sync:
			now = m.Now
		case wire.Hello:
			b, err := balancer.New(m.Settings, m.Seed)
			if err != nil {
				return fmt.Errorf("instance %d: %w", m.Instance, err)
			}
			hosted[m.Instance] = b
		case wire.Stop:
			delete(hosted, m.Instance)
		case wire.Event:
			if b := hosted[m.Instance]; b != nil {
				for _, a := range b.Handle(now, m.Event) {
					enc.Action(m.Instance, a)
				}
			}
		case wire.End:
			if err := enc.Flush(); err != nil {
				return err
			}
			if _, err := reply.WriteTo(out); err != nil {
				return err
			}
		}
	}
}
