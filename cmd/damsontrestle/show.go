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
	return newShowCommand("show", "Show a node's configuration and status",
		"show shows the running configuration (its serial, fingerprint, origin and start time), the listeners and pools, and what\nis still draining from earlier configurations.",
		"write everything as JSON, including the configuration",
		func(s admin.ShowResponse) (admin.ShowResponse, error) { return s, nil }, writeShow)
}

// newShowCommand returns a command that queries a node's status and writes the part that selectPart returns, as text or JSON.
func newShowCommand[T any](use, short, long, jsonHelp string, selectPart func(admin.ShowResponse) (T, error), writeText func(io.Writer, T)) *cobra.Command {
	var (
		socket string
		asJSON bool
	)
	cmd := &cobra.Command{
		Use: use + " [FILE]", Short: short, Long: long + " The file is only read for the node's admin socket.", Args: cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			path, err := resolveSocket(socket, args)
			if err != nil {
				return err
			}
			_, show, err := queryDaemon(cmd.Context(), path)
			if err != nil {
				return err
			}
			selected, err := selectPart(show)
			if err != nil {
				return err
			}
			if asJSON {
				return json.NewEncoder(cmd.OutOrStdout()).Encode(selected)
			}
			writeText(cmd.OutOrStdout(), selected)
			return nil
		},
	}
	cmd.Flags().StringVar(&socket, "socket", "", "the node's admin socket (default: the file's)")
	cmd.Flags().BoolVar(&asJSON, "json", false, jsonHelp)
	return cmd
}

func writeShow(out io.Writer, s admin.ShowResponse) {
	printLine := func(format string, args ...any) { fmt.Fprintf(out, format+"\n", args...) }
	ready := "ready"
	if !s.Status.Ready {
		ready = "not ready"
	}
	printLine("node         %s, %s", s.Node, ready)
	printLine("running      serial %d, %s, by %s at %s", s.Serial, plan.ShortFingerprint(s.Fingerprint), s.By, s.Since.Format(time.RFC3339))
	printLine("started from %s", s.StartSource)
	if s.Previous != nil {
		printLine("previous     serial %d, %s", s.Previous.Serial, plan.ShortFingerprint(s.Previous.Fingerprint))
	}
	if s.InMemoryOnly {
		printLine("state        in memory only: applied changes are lost at a restart")
	}
	if s.Diverged {
		printLine("state        may differ from the running configuration: the write is retried until it succeeds; see the log for errors")
	}
	if len(s.NeedsRestart) > 0 {
		printLine("restart      needed for %s", commaSeparated(s.NeedsRestart))
	}
	printLine("needs        %d of %d descriptors, about %v of %v memory", s.Needs.Descriptors, s.Config.Node.Limits.Descriptors, s.Needs.Memory.RoundUpToMiB(), s.Config.Node.Limits.Memory)
	if s.CurrentStep != "" {
		printLine("in progress  %s", s.CurrentStep)
	}
	if s.LastChange != nil {
		outcome := "done"
		if s.LastChange.Error != "" {
			outcome = "failed: " + s.LastChange.Error
		}
		printLine("last change  %s at %s, %s", s.LastChange.By, s.LastChange.At.Format(time.RFC3339), outcome)
	}
	printLine("clients      %d connections", s.Status.Clients)
	for _, name := range slices.Sorted(maps.Keys(s.Status.Listeners)) {
		printLine("listener     %s at %s", name, s.Status.Listeners[name].Address)
	}
	for _, name := range slices.Sorted(maps.Keys(s.Status.Pools)) {
		pool := s.Status.Pools[name]
		c := pool.Requests
		printLine("pool         %s: %d servers ready, %d draining, %d connections; requests: %d open, %d accepted, %d served, %d rejected, %d failed, %d abandoned by their clients",
			name, c.Ready, c.Draining, pool.Connections, c.Open, c.Requests, c.Served, c.Rejected, c.Failed, c.Disconnected)
	}
	if s.Status.Gateway != nil {
		writeGateway(printLine, *s.Status.Gateway)
	}
	for _, name := range s.Status.Draining {
		printLine("draining     %s of an earlier configuration", name)
	}
}

// writeGateway writes a gateway's status through printLine.
func writeGateway(printLine func(format string, args ...any), g gateway.Status) {
	printLine("gateway      of %s: %d links, %d offers (%d of stale partners), %d active requests, %d replicated for others", g.Partner, len(g.Links), g.Routes.Advertisements, len(g.Routes.Stale), g.Replication.Active, g.Replication.Replica.Entries)
	c := g.Replication
	printLine("custody      %d owned, %d without a quorum, %d taken over by others, %d taken over here; %d queries, %d answered", c.Taken, c.NoQuorum, c.Fenced, c.Claimed, c.Queries, c.QueriesAnswered)
	for _, name := range slices.Sorted(maps.Keys(g.Quotas)) {
		q := g.Quotas[name]
		printLine("quota        %s: leader %s (term %d), %d tokens drawn, %d requests rejected, %d tokens available; partitioned: %v", name, q.Leader, q.Term, q.Drawn, q.Rejected, q.Available, q.Partitioned)
	}
}
