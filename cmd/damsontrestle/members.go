package main

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"woodpick/internal/admin"
	"woodpick/internal/peers"
)

func newMembers() *cobra.Command {
	return newLook("members", "Show what a node knows of other nodes",
		"members tells of each node that this one knows: whether it lives, since when, when it was heard last, and what\nwas dropped of the datagrams that came and why.",
		"write everything as JSON",
		func(s admin.Show) (peers.Status, error) {
			if s.Status.Peers == nil {
				return peers.Status{}, fmt.Errorf("node %s knows of no others: its file has no peers block", s.Node)
			}
			return *s.Status.Peers, nil
		}, writeMembers)
}

func writeMembers(out io.Writer, s peers.Status) {
	count := map[string]int{}
	for _, m := range s.Members {
		count[m.Status]++
	}
	fmt.Fprintf(out, "%d alive, %d suspect, %d dead, %d left beside this node; its life %d, ill health %d of 8", count["alive"], count["suspect"], count["dead"], count["left"], s.Life, s.Health)
	if s.Twins > 1 {
		fmt.Fprintf(out, "; %d words of lives under its name that were not its own: is there another process of this name?", s.Twins)
	}
	c := s.Counts
	fmt.Fprintf(out, "\ndatagrams: %d sent, %d received; dropped: %d of another key, %d malformed, %d of another version, %d that came too fast, %d beyond the pace\n", c.Sent, c.Received, c.Strange, c.Malformed, c.Other, c.Lost, c.Paced)
	w := tabwriter.NewWriter(out, 2, 0, 2, ' ', 0)
	fmt.Fprintln(w, "NAME\tSTATUS\tFOR\tHEARD\tLIFE\tREGION\tZONE\tADDRESS")
	for _, m := range s.Members {
		heard := "never"
		if m.Heard >= 0 {
			heard = m.Heard.Round(100*time.Millisecond).String() + " ago"
		}
		fmt.Fprintf(w, "%s\t%s\t%v\t%s\t%d\t%s\t%s\t%s\n", m.Name, m.Status, m.For.Round(100*time.Millisecond), heard, m.Life, m.Region, m.Zone, m.Addr)
	}
	w.Flush()
}
