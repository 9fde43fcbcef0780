package main

import (
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"damsontrestle/internal/membership"
	"damsontrestle/internal/modelcheck"
	"damsontrestle/internal/modelcheck/exchange"
	"damsontrestle/internal/modelcheck/swim"
)

// machines are the systems that can be explored: small for exhaustive search, large for random walks.
var machines = map[string]struct {
	small func() (modelcheck.State, error)
	large func() (modelcheck.State, error)
}{
	"members": {
		func() (modelcheck.State, error) { return swim.New(swim.SmallBounds()) },
		func() (modelcheck.State, error) {
			return swim.New(swim.Bounds{Nodes: 5, Ticks: 200, Drops: 60, Duplicates: 20, Crashes: 5, Leaves: 1, Stops: 5,
				MaxClockSkew: 10 * time.Second, Options: membership.Defaults(), MaxInFlight: 60})
		},
	},
	"facts": {
		func() (modelcheck.State, error) { return exchange.New(exchange.SmallBounds()) },
		func() (modelcheck.State, error) {
			return exchange.New(exchange.Bounds{Zones: []int{0, 0, 0, 1, 1, 2}, Ticks: 1000, Drops: 100, Duplicates: 50, Crashes: 5, Waits: 8,
				WaitTime: 900 * time.Millisecond, MaxInFlight: 60, Fresh: 2 * time.Second})
		},
	},
}

func newExplore() *cobra.Command {
	var states, walks, steps int
	var seed uint64
	var names []string
	for n := range machines {
		names = append(names, n)
	}
	sort.Strings(names)
	cmd := &cobra.Command{Use: "explore NAME", Short: "Search all event orders of a state machine, and random histories",
		Long: "explore searches all orders for a small system, then runs random histories of a larger one. The first breach is\n" +
			"shortened, printed as a script, and makes the command fail. Names: " + strings.Join(names, ", ") + ".",
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			machine, known := machines[args[0]]
			if !known {
				return fmt.Errorf("unknown system %q; allowed: %s", args[0], strings.Join(names, ", "))
			}
			start, err := machine.small()
			if err != nil {
				return err
			}
			begin := time.Now()
			r, breach := modelcheck.Search(start, states, 100)
			if breach != nil {
				return breach
			}
			fmt.Fprintf(cmd.OutOrStdout(), "all orders: %d states, %d moves, %d deep, whole: %v, %v\n", r.States, r.Moves, r.Depth, r.Complete, time.Since(begin).Round(time.Millisecond))
			if start, err = machine.large(); err != nil {
				return err
			}
			begin = time.Now()
			if at, breach := modelcheck.Walks(start, seed, walks, steps); breach != nil {
				return fmt.Errorf("seed %d: %w", at, modelcheck.Shorten(start, breach))
			}
			fmt.Fprintf(cmd.OutOrStdout(), "%d random histories of %d steps, each to its end: %v\n", walks, steps, time.Since(begin).Round(time.Millisecond))
			return nil
		}}
	f := cmd.Flags()
	f.IntVar(&states, "states", 50000, "maximum number of distinct states")
	f.IntVar(&walks, "walks", 200, "number of random histories")
	f.IntVar(&steps, "steps", 1000, "steps per history")
	f.Uint64Var(&seed, "seed", 1, "seed of the first history")
	return cmd
}
