package main

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"github.com/spf13/cobra"

	"damsontrestle/internal/admin"
	"damsontrestle/internal/gateway"
	"damsontrestle/internal/plan"
)

func newShow() *cobra.Command {
	return newShowCommand("show", "Show what a node runs and does",
		"show tells what runs (serial and fingerprint, since when, put in place by what), its listeners and pools, and what\nof earlier configurations still drains.",
		"write everything as JSON, the configuration among it",
		func(s admin.ShowResponse) (admin.ShowResponse, error) { return s, nil }, writeShow)
}

// newShowCommand makes a command that asks a node what it runs and writes a part of that, in words or as JSON.
func newShowCommand[T any](use, short, long, jsonHelp string, part func(admin.ShowResponse) (T, error), write func(io.Writer, T)) *cobra.Command {
	var (
		socket string
		asJSON bool
	)
	cmd := &cobra.Command{
		Use: use + " [FILE]", Short: short, Long: long + " The file only names the node, by its admin socket.", Args: cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			path, err := socketOf(socket, args)
			if err != nil {
				return err
			}
			_, show, err := askRunning(cmd.Context(), path)
			if err != nil {
				return err
			}
			v, err := part(show)
			if err != nil {
				return err
			}
			if asJSON {
				return json.NewEncoder(cmd.OutOrStdout()).Encode(v)
			}
			write(cmd.OutOrStdout(), v)
			return nil
		},
	}
	cmd.Flags().StringVar(&socket, "socket", "", "the node's admin socket (default: the file's)")
	cmd.Flags().BoolVar(&asJSON, "json", false, jsonHelp)
	return cmd
}

func writeShow(out io.Writer, s admin.ShowResponse) {
	p := func(format string, args ...any) { fmt.Fprintf(out, format+"\n", args...) }
	ready := "ready"
	if !s.Status.Ready {
		ready = "not ready"
	}
	p("node         %s, %s", s.Node, ready)
	p("running      serial %d, %s, by %s at %s", s.Serial, plan.ShortFingerprint(s.Fingerprint), s.By, s.Since.Format(time.RFC3339))
	p("found        %s", s.StartSource)
	if s.Previous != nil {
		p("before       serial %d, %s", s.Previous.Serial, plan.ShortFingerprint(s.Previous.Fingerprint))
	}
	if s.InMemoryOnly {
		p("state        in memory only: a restart forgets what is applied")
	}
	if s.Diverged {
		p("state        may hold another configuration than what runs: it is written again until that succeeds, and the log says what fails")
	}
	if len(s.NeedsRestart) > 0 {
		p("restart      needed for %s", join(s.NeedsRestart))
	}
	p("needs        %d of %d descriptors, about %v of %v memory", s.Needs.Descriptors, s.Config.Node.Limits.Descriptors, s.Needs.Memory.RoundUpToMiB(), s.Config.Node.Limits.Memory)
	if s.CurrentStep != "" {
		p("under way    %s", s.CurrentStep)
	}
	if s.LastChange != nil {
		what := "done"
		if s.LastChange.Error != "" {
			what = "failed: " + s.LastChange.Error
		}
		p("last change  %s at %s, %s", s.LastChange.By, s.LastChange.At.Format(time.RFC3339), what)
	}
	p("callers      %d connections", s.Status.Clients)
	for _, name := range slices.Sorted(maps.Keys(s.Status.Listeners)) {
		p("listener     %s at %s", name, s.Status.Listeners[name].Address)
	}
	for _, name := range slices.Sorted(maps.Keys(s.Status.Pools)) {
		pool := s.Status.Pools[name]
		c := pool.Requests
		p("pool         %s: %d servers ready, %d draining, %d connections; calls: %d open, %d taken, %d served, %d refused, %d failed, %d left by their callers",
			name, c.Ready, c.Draining, pool.Connections, c.Open, c.Requests, c.Served, c.Rejected, c.Failed, c.Disconnected)
	}
	if s.Status.Gateway != nil {
		writeGateway(p, *s.Status.Gateway)
	}
	for _, name := range s.Status.Draining {
		p("draining     %s of an earlier configuration", name)
	}
}

// writeGateway writes what a gateway does, by p.
func writeGateway(p func(format string, args ...any), g gateway.Status) {
	p("gateway      of %s: %d links, %d offers (%d of stale partners), %d calls in hand, %d held for others", g.Partner, len(g.Links), g.Routes.Advertisements, len(g.Routes.Stale), g.Replication.Active, g.Replication.Replica.Entries)
	c := g.Replication
	p("custody      %d taken, %d alone, %d taken over by others, %d taken over here; asked for %d, found %d", c.Taken, c.NoQuorum, c.Fenced, c.Claimed, c.Queries, c.QueriesAnswered)
	for _, name := range slices.Sorted(maps.Keys(g.Quotas)) {
		q := g.Quotas[name]
		p("quota        %s: kept by %s (term %d), %d drawn, %d refused, %d tokens held; cut off: %v", name, q.Leader, q.Term, q.Drawn, q.Rejected, q.Available, q.Partitioned)
	}
}
