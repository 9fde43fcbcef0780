package main

import (
	"fmt"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"woodpick/internal/explore/exchange"
)

func newExchange() *cobra.Command {
	w := exchange.World{}
	var nodes []int
	var loss []float64
	cmd := &cobra.Command{Use: "exchange", Short: "Play what nodes tell one another of zones, on virtual time",
		Long: "exchange plays fleets of the exchange's machine in one process, without sockets, and prints a line for each number of\n" +
			"nodes and share of losses. The truth is known: an age that was under-reported makes the command fail.",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			out := tabwriter.NewWriter(cmd.OutOrStdout(), 2, 0, 2, ' ', 0)
			defer out.Flush()
			fmt.Fprintln(out, "nodes\tloss\tfresh\tcounted\twhole\tage\tmost\tbeyond the truth\tbytes/s\tmost\tdatagrams/s\trows\tback after a cut\ttook")
			for _, n := range nodes {
				for _, l := range loss {
					w.Nodes, w.Loss = n, l
					begin := time.Now()
					s, err := exchange.Play(w)
					if err != nil {
						return err
					}
					back := "-"
					if s.Back >= 0 {
						back = s.Back.String()
					}
					fmt.Fprintf(out, "%d\t%.2f\t%.4f\t%.4f\t%.3f\t%v\t%v\t%v\t%.0f\t%.0f\t%.1f\t%d\t%s\t%v\n", n, l, s.Fresh, s.Counted, s.Whole, s.Age.Round(time.Millisecond),
						s.AgeMost.Round(time.Millisecond), s.Slack.Round(time.Millisecond), s.Bytes, s.MostSent, s.Packets, s.Rows, back, time.Since(begin).Round(10*time.Millisecond))
				}
			}
			return nil
		}}
	f := cmd.Flags()
	f.IntSliceVar(&nodes, "nodes", []int{300}, "how many nodes; several with commas")
	f.Float64SliceVar(&loss, "loss", []float64{0}, "share of datagrams that get lost; several with commas")
	f.IntVar(&w.Zones, "zones", 6, "how many zones")
	f.IntVar(&w.Big, "big", 0, "nodes of the first zone; 0: as many as in the others")
	f.DurationVar(&w.Fresh, "fresh", 2*time.Second, "until how old what is known is fresh")
	f.DurationVar(&w.Delay, "delay", 10*time.Millisecond, "of a datagram, from a tenth of it up to it")
	f.Float64Var(&w.Tail, "tail", 0, "share of datagrams that take up to fifty times as long")
	f.Float64Var(&w.Asleep, "asleep", 0, "share of nodes that sleep at a time")
	f.DurationVar(&w.SleepFor, "sleep", 3*time.Second, "for how long each does")
	f.Float64Var(&w.Die, "die", 0, "share of nodes that die half way")
	f.DurationVar(&w.CutFrom, "cut-from", 0, "when the first zone is cut off")
	f.DurationVar(&w.CutTo, "cut-to", 0, "and until when")
	f.BoolVar(&w.OneWay, "one-way", false, "only what the cut zone sends is lost")
	f.DurationVar(&w.For, "for", 30*time.Second, "how long to play")
	f.Uint64Var(&w.Seed, "seed", 1, "of what is drawn")
	return cmd
}
