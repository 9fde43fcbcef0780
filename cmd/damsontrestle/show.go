package main

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"damsontrestle/internal/admin"
	"damsontrestle/internal/gateway"
	"damsontrestle/internal/metrics"
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

func writeShow(out io.Writer, response admin.ShowResponse) {
	printLine := func(format string, args ...any) { fmt.Fprintf(out, format+"\n", args...) }
	ready := "ready"
	if !response.Status.Ready {
		ready = "not ready"
	}
	printLine("node         %s, %s", response.Node, ready)
	printLine("running      serial %d, %s, by %s at %s", response.Serial, plan.ShortFingerprint(response.Fingerprint), response.By, response.Since.Format(time.RFC3339))
	printLine("started from %s", response.StartSource)
	if response.Previous != nil {
		printLine("previous     serial %d, %s", response.Previous.Serial, plan.ShortFingerprint(response.Previous.Fingerprint))
	}
	if response.InMemoryOnly {
		printLine("state        in memory only: applied changes are lost at a restart")
	}
	if response.Diverged {
		printLine("state        may differ from the running configuration: the write is retried until it succeeds; see the log for errors")
	}
	if len(response.NeedsRestart) > 0 {
		printLine("restart      needed for %s", commaSeparated(response.NeedsRestart))
	}
	printLine("needs        %d of %d descriptors, about %v of %v memory", response.Needs.Descriptors, response.Config.Node.Limits.Descriptors, response.Needs.Memory.RoundUpToMiB(), response.Config.Node.Limits.Memory)
	if response.CurrentStep != "" {
		printLine("in progress  %s", response.CurrentStep)
	}
	if response.LastChange != nil {
		outcome := "done"
		if response.LastChange.Error != "" {
			outcome = "failed: " + response.LastChange.Error
		}
		printLine("last change  %s at %s, %s", response.LastChange.By, response.LastChange.At.Format(time.RFC3339), outcome)
	}
	printLine("memory       %s", memoryText(response.Status.Memory))
	printLine("clients      %d connections", response.Status.Clients)
	for _, name := range slices.Sorted(maps.Keys(response.Status.Listeners)) {
		printLine("listener     %s at %s", name, response.Status.Listeners[name].Address)
	}
	for _, name := range slices.Sorted(maps.Keys(response.Status.Pools)) {
		pool := response.Status.Pools[name]
		requests := pool.Requests
		printLine("pool         %s: %d servers ready, %d draining, %d connections; requests: %d open, %d accepted, %d served, %d rejected, %d failed, %d abandoned by their clients",
			name, requests.Ready, requests.Draining, pool.Connections, requests.Open, requests.Requests, requests.Served, requests.Rejected, requests.Failed, requests.Disconnected)
	}
	for _, server := range slices.Sorted(maps.Keys(response.Status.UnattributedInput)) {
		printLine("unattributed input of %s: %s", server, counts(response.Status.UnattributedInput[server]))
	}
	if len(response.Status.ServerConnectionsClosed) > 0 {
		printLine("closed       connections to servers: %s", counts(response.Status.ServerConnectionsClosed))
	}
	if response.Status.Gateway != nil {
		writeGateway(printLine, *response.Status.Gateway)
	}
	for _, name := range response.Status.Draining {
		printLine("draining     %s of an earlier configuration", name)
	}
}

// memoryText returns the parts of a process's memory, in MiB.
func memoryText(memory metrics.Memory) string {
	mebibytes := func(bytes uint64) float64 { return float64(bytes) / (1 << 20) }
	return fmt.Sprintf("%.1f MiB anonymous; runtime %.1f, live heap %.1f, objects %.1f, stacks %.1f; %d goroutines",
		mebibytes(uint64(memory.Anonymous)), mebibytes(memory.Runtime), mebibytes(memory.Live), mebibytes(memory.Objects), mebibytes(memory.Stacks), memory.Goroutines)
}

// counts returns counts as "name number", in the order of their names.
func counts(byName map[string]int64) string {
	var texts []string
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		texts = append(texts, fmt.Sprintf("%s %d", name, byName[name]))
	}
	return strings.Join(texts, ", ")
}

// writeGateway writes a gateway's status through printLine.
func writeGateway(printLine func(format string, args ...any), status gateway.Status) {
	printLine("gateway      of %s: %d links, %d offers (%d of stale partners), %d active requests, %d stored for others", status.Partner, len(status.Links), status.Routes.Advertisements, len(status.Routes.Stale), status.Replication.Active, status.Replication.Replica.Entries)
	counts := status.Replication
	printLine("custody      %d owned, %d without a quorum, %d taken over by others, %d taken over here; %d queries for earlier requests, %d answered", counts.Taken, counts.NoQuorum, counts.Fenced, counts.Claimed, counts.Queries, counts.QueriesAnswered)
	for _, name := range slices.Sorted(maps.Keys(status.Quotas)) {
		quota := status.Quotas[name]
		printLine("quota        %s: leader %s (term %d), %d requests drew a token, %d rejected, %d tokens available; partitioned: %v", name, quota.Leader, quota.Term, quota.Drawn, quota.Rejected, quota.Available, quota.Partitioned)
	}
}
