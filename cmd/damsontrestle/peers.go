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
	return newShowCommand("members", "Show what a node knows of other nodes",
		"members tells of each node that this one knows: whether it lives, since when, when it was heard last, and what\nwas dropped of the datagrams that came and why.",
		"write everything as JSON",
		func(s admin.ShowResponse) (gossip.Status, error) {
			if s.Status.Peers == nil {
				return gossip.Status{}, fmt.Errorf("node %s knows of no others: its file has no peers block", s.Node)
			}
			return *s.Status.Peers, nil
		}, writeMembers)
}

func writeMembers(out io.Writer, s gossip.Status) {
	count := map[string]int{}
	for _, m := range s.Members {
		count[m.Status]++
	}
	fmt.Fprintf(out, "%d alive, %d suspect, %d dead, %d left beside this node; its life %d, ill health %d of 8", count["alive"], count["suspect"], count["dead"], count["left"], s.Incarnation, s.Health)
	if s.NameConflicts > 1 {
		fmt.Fprintf(out, "; %d words of lives under its name that were not its own: is there another process of this name?", s.NameConflicts)
	}
	c := s.Counts
	fmt.Fprintf(out, "\ndatagrams: %d sent, %d received; dropped: %d of another key, %d malformed, %d of another version, %d that came too fast, %d beyond the pace\n", c.Sent, c.Received, c.WrongKey, c.Malformed, c.Unsupported, c.QueueFull, c.RateLimited)
	w := tabwriter.NewWriter(out, 2, 0, 2, ' ', 0)
	fmt.Fprintln(w, "NAME\tSTATUS\tFOR\tHEARD\tLIFE\tREGION\tZONE\tADDRESS")
	for _, m := range s.Members {
		heard := "never"
		if m.SinceHeard >= 0 {
			heard = m.SinceHeard.Round(100*time.Millisecond).String() + " ago"
		}
		fmt.Fprintf(w, "%s\t%s\t%v\t%s\t%d\t%s\t%s\t%s\n", m.Name, m.Status, m.SinceChange.Round(100*time.Millisecond), heard, m.Incarnation, m.Region, m.Zone, m.Addr)
	}
	w.Flush()
}

func newZoneState() *cobra.Command {
	return newShowCommand("facts", "Show what a node knows of each zone, and how old that is",
		"facts tells of each zone whether what is known of it is fresh, since when, from how many of its nodes, and how old it\nis at most; then what is known, and what was dropped and why.",
		"write everything as JSON",
		func(s admin.ShowResponse) (gossip.ZoneStateStatus, error) {
			if s.Status.Peers == nil || s.Status.Peers.ZoneState == nil {
				return gossip.ZoneStateStatus{}, fmt.Errorf("node %s is told nothing of zones: its file has no peers block with fresh", s.Node)
			}
			return *s.Status.Peers.ZoneState, nil
		}, writeZoneState)
}

func writeZoneState(out io.Writer, f gossip.ZoneStateStatus) {
	fmt.Fprintf(out, "fresh: up to %v; %d rows held", f.FreshAge, f.StoredRows)
	if f.Isolated {
		fmt.Fprint(out, "; ALONE: nothing fresh is known of anybody else")
	}
	d := f.Dropped
	fmt.Fprintf(out, "\nsent: %d parts, %d rows, %d questions, %d answers; dropped: %d rows that could have been under way for any time, %d too old, %d of strangers, %d of too many nodes, %d entries for want of room, %d questions too many\n",
		f.Sent["parts"], f.Sent["rows"], f.Sent["questions"], f.Sent["answers"], d.Unbounded, d.Expired, d.Foreign, d.TooManyParts, d.Truncated, d.RateLimited)
	w := tabwriter.NewWriter(out, 2, 0, 2, ' ', 0)
	fmt.Fprintln(w, "REGION\tZONE\tFACTS\tFOR\tAGE\tFROM\tNODES")
	for _, z := range f.Zones {
		age := "-"
		if z.PartCount > 0 {
			age = z.Age.Round(time.Millisecond).String()
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%v\t%s\t%d\t%d\n", z.Region, z.Zone, z.Freshness, z.SinceChange.Round(100*time.Millisecond), age, z.PartCount, z.ActiveNodes)
	}
	fmt.Fprintln(w, "\nZONE\tWHAT\tOF\tAMOUNT\tAGE\tFROM")
	for _, z := range f.Zones {
		for _, t := range z.Reports {
			fmt.Fprintf(w, "%s\t%s\t%s\t%.4g\t%v\t%d\n", z.Zone, t.Kind, t.Subject, t.Value, t.Age.Round(time.Millisecond), t.PartCount)
		}
	}
	w.Flush()
}
