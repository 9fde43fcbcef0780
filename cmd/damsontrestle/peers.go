package main

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"damsontrestle/internal/admin"
	"damsontrestle/internal/gossip"
)

func newMembers() *cobra.Command {
	return newShowCommand("members", "Show the members that a node knows",
		"members lists the other nodes that a node knows, with their status, its age and when each was last heard from, and counts the\ndatagrams that were dropped, by reason.",
		"write everything as JSON",
		func(s admin.ShowResponse) (gossip.Status, error) {
			if s.Status.Peers == nil {
				return gossip.Status{}, fmt.Errorf("node %s has no membership: its file has no peers block", s.Node)
			}
			return *s.Status.Peers, nil
		}, writeMembers)
}

func writeMembers(out io.Writer, status gossip.Status) {
	byStatus := map[string]int{}
	for _, m := range status.Members {
		byStatus[m.Status]++
	}
	fmt.Fprintf(out, "%d alive, %d suspect, %d dead, %d left beside this node; its incarnation %d, health score %d of 8 (0 is healthy)", byStatus["alive"], byStatus["suspect"], byStatus["dead"], byStatus["left"], status.Incarnation, status.Health)
	if status.NameConflicts > 1 {
		fmt.Fprintf(out, "; %d updates about its name with a later incarnation: is another process using the name?", status.NameConflicts)
	}
	counts := status.Counts
	fmt.Fprintf(out, "\ndatagrams: %d sent, %d received; dropped: %d with a wrong key, %d malformed, %d of an unsupported version, %d with the queue full, %d rate limited\n", counts.Sent, counts.Received, counts.WrongKey, counts.Malformed, counts.Unsupported, counts.QueueFull, counts.RateLimited)
	table := tabwriter.NewWriter(out, 2, 0, 2, ' ', 0)
	fmt.Fprintln(table, "NAME\tSTATUS\tFOR\tHEARD\tINCARNATION\tREGION\tZONE\tADDRESS")
	for _, m := range status.Members {
		heard := "never"
		if m.SinceHeard >= 0 {
			heard = m.SinceHeard.Round(100*time.Millisecond).String() + " ago"
		}
		fmt.Fprintf(table, "%s\t%s\t%v\t%s\t%d\t%s\t%s\t%s\n", m.Name, m.Status, m.SinceChange.Round(100*time.Millisecond), heard, m.Incarnation, m.Region, m.Zone, m.Addr)
	}
	table.Flush()
}

func newZoneState() *cobra.Command {
	return newShowCommand("facts", "Show the zone state that a node holds, and its age",
		"facts shows for each zone whether its state is fresh, since when, from how many nodes and how old it is at most. It then\nlists the state, and counts the entries that were dropped, by reason.",
		"write everything as JSON",
		func(s admin.ShowResponse) (gossip.ZoneStateStatus, error) {
			if s.Status.Peers == nil || s.Status.Peers.ZoneState == nil {
				return gossip.ZoneStateStatus{}, fmt.Errorf("node %s has no zone state: its file has no peers block with fresh", s.Node)
			}
			return *s.Status.Peers.ZoneState, nil
		}, writeZoneState)
}

func writeZoneState(out io.Writer, status gossip.ZoneStateStatus) {
	fmt.Fprintf(out, "fresh: up to %v; %d rows held", status.FreshAge, status.StoredRows)
	if status.Isolated {
		fmt.Fprint(out, "; ALONE: there is no fresh state of any other node")
	}
	dropped := status.Dropped
	fmt.Fprintf(out, "\nsent: %d parts, %d rows, %d queries, %d replies; dropped: %d rows and parts without a bound on their delay, %d too old, %d from unknown authors or senders, %d with too many parts, %d entries beyond the row size, %d queries rate limited\n",
		status.Sent["parts"], status.Sent["rows"], status.Sent["questions"], status.Sent["answers"], dropped.Unbounded, dropped.Expired, dropped.Foreign, dropped.TooManyParts, dropped.Truncated, dropped.RateLimited)
	table := tabwriter.NewWriter(out, 2, 0, 2, ' ', 0)
	fmt.Fprintln(table, "REGION\tZONE\tFRESHNESS\tFOR\tAGE\tFROM\tNODES")
	for _, zone := range status.Zones {
		age := "-"
		if zone.PartCount > 0 {
			age = zone.Age.Round(time.Millisecond).String()
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%v\t%s\t%d\t%d\n", zone.Region, zone.Zone, zone.Freshness, zone.SinceChange.Round(100*time.Millisecond), age, zone.PartCount, zone.ActiveNodes)
	}
	fmt.Fprintln(table, "\nZONE\tKIND\tSUBJECT\tVALUE\tAGE\tFROM")
	for _, zone := range status.Zones {
		for _, report := range zone.Reports {
			fmt.Fprintf(table, "%s\t%s\t%s\t%.4g\t%v\t%d\n", zone.Zone, report.Kind, report.Subject, report.Value, report.Age.Round(time.Millisecond), report.PartCount)
		}
	}
	table.Flush()
}
