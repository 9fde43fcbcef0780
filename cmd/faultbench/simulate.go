package main

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"damsontrestle/internal/membership"
	"damsontrestle/internal/modelcheck/exchange"
	"damsontrestle/internal/modelcheck/swim"
	"damsontrestle/internal/simulation"
)

func newCrowd() *cobra.Command {
	var (
		w     simulation.World
		nodes []int
		loss  []float64
		seeds int
		fresh time.Duration
	)
	cmd := &cobra.Command{Use: "crowd members|facts", Short: "Simulate large fleets of a state machine on virtual time",
		Long: "crowd simulates fleets of the membership or exchange state machine in one process, without sockets, and prints a line for\n" +
			"each number of nodes and share of losses, over all seeds. The true state is known: an under-reported age or\n" +
			"a malformed datagram makes the command fail.",
		Args: cobra.MatchAll(cobra.ExactArgs(1), cobra.OnlyValidArgs), ValidArgs: []string{"members", "facts"},
		RunE: func(cmd *cobra.Command, args []string) error {
			out := tabwriter.NewWriter(cmd.OutOrStdout(), 2, 0, 2, ' ', 0)
			defer out.Flush()
			line := writeMembershipLine
			if args[0] == "facts" {
				line = func(out io.Writer, worlds []simulation.World) error { return writeZoneStateLine(out, worlds, fresh) }
			}
			if err := line(out, nil); err != nil {
				return err
			}
			for _, n := range nodes {
				for _, l := range loss {
					var worlds []simulation.World
					for s := range seeds {
						w := w
						w.Nodes, w.Loss, w.Seed = n, l, w.Seed+uint64(s)
						worlds = append(worlds, w)
					}
					if err := line(out, worlds); err != nil {
						return err
					}
					if err := cmd.Context().Err(); err != nil {
						return err
					}
				}
			}
			return nil
		}}
	f := cmd.Flags()
	f.IntSliceVar(&nodes, "nodes", []int{300}, "number of nodes; several with commas")
	f.Float64SliceVar(&loss, "loss", []float64{0}, "share of lost datagrams; several with commas")
	f.IntVar(&seeds, "seeds", 1, "number of seeds, starting from the first")
	f.DurationVar(&fresh, "fresh", 2*time.Second, "of facts: maximum age of fresh zone state")
	f.IntVar(&w.Zones, "zones", 6, "number of zones")
	f.IntVar(&w.FirstZoneNodes, "big", 0, "number of nodes in the first zone; 0: as many as in the others")
	f.DurationVar(&w.Delay, "delay", 10*time.Millisecond, "maximum delay of a datagram; the minimum is a tenth of it")
	f.Float64Var(&w.TailShare, "tail", 0, "share of datagrams that take up to fifty times as long")
	f.Float64Var(&w.SleepShare, "asleep", 0, "share of nodes that sleep at the same time")
	f.DurationVar(&w.SleepTime, "sleep", 3*time.Second, "duration of each sleep")
	f.Float64Var(&w.DeathShare, "die", 0, "share of nodes that die halfway through the run")
	f.DurationVar(&w.CutFrom, "cut-from", 0, "start of the cut of the first zone")
	f.DurationVar(&w.CutTo, "cut-to", 0, "end of the cut of the first zone")
	f.BoolVar(&w.OneWay, "one-way", false, "lose only datagrams sent by the cut zone")
	f.BoolVar(&w.BadLink, "bad-link", false, "lose three in four of the first node's datagrams")
	f.DurationVar(&w.Duration, "for", time.Minute, "duration of the run")
	f.Uint64Var(&w.Seed, "seed", 1, "seed of the random choices")
	return cmd
}

// formatDuration formats a time for the table; negative: the event did not occur.
func formatDuration(d time.Duration) string {
	if d < 0 {
		return "-"
	}
	return d.Round(100 * time.Millisecond).String()
}

// writeMembershipLine simulates worlds that differ in their seeds and prints a line; without worlds, it prints the heading.
// Times are the longest over all seeds.
func writeMembershipLine(out io.Writer, worlds []simulation.World) error {
	if worlds == nil {
		_, err := fmt.Fprintln(out, "nodes\tloss\tjoined 95 %\tall\tdead known 95 %\tall\tparted 95 %\tback 95 %\tall\tfalse deaths\tmember-minutes\tdatagrams/s\tbytes/s\tmost\till health\ttook")
		return err
	}
	begin := time.Now()
	var all swim.Result
	longest := func(a *time.Duration, b time.Duration, i int) {
		if i == 0 || b < 0 || *a >= 0 && b > *a {
			*a = b
		}
	}
	for i, w := range worlds {
		s, err := swim.Play(w, membership.Defaults())
		if err != nil {
			return fmt.Errorf("seed %d: %w", w.Seed, err)
		}
		for _, x := range [][2]*time.Duration{{&all.Joined95, &s.Joined95}, {&all.JoinedAll, &s.JoinedAll}, {&all.Dead95, &s.Dead95}, {&all.DeadAll, &s.DeadAll},
			{&all.Partitioned95, &s.Partitioned95}, {&all.Rejoined95, &s.Rejoined95}, {&all.RejoinedAll, &s.RejoinedAll}} {
			longest(x[0], *x[1], i)
		}
		all.FalseDeaths += s.FalseDeaths
		all.MemberMinutes += s.MemberMinutes
		all.DatagramRate += s.DatagramRate / float64(len(worlds))
		all.ByteRate += s.ByteRate / float64(len(worlds))
		all.MaxByteRate, all.MaxHealthScore = max(all.MaxByteRate, s.MaxByteRate), max(all.MaxHealthScore, s.MaxHealthScore)
	}
	_, err := fmt.Fprintf(out, "%d\t%.2f\t%s\t%s\t%s\t%s\t%s\t%s\t%s\t%d\t%.0f\t%.1f\t%.0f\t%.0f\t%d\t%v\n", worlds[0].Nodes, worlds[0].Loss, formatDuration(all.Joined95), formatDuration(all.JoinedAll),
		formatDuration(all.Dead95), formatDuration(all.DeadAll), formatDuration(all.Partitioned95), formatDuration(all.Rejoined95), formatDuration(all.RejoinedAll), all.FalseDeaths, all.MemberMinutes,
		all.DatagramRate, all.ByteRate, all.MaxByteRate, all.MaxHealthScore, time.Since(begin).Round(10*time.Millisecond))
	return err
}

// writeZoneStateLine is like writeMembershipLine, for zone state. Shares and rates are means over all seeds.
func writeZoneStateLine(out io.Writer, worlds []simulation.World, fresh time.Duration) error {
	if worlds == nil {
		_, err := fmt.Fprintln(out, "nodes\tloss\tfresh\tcounted\twhole\tage\tmost\tbeyond the truth\tdatagrams/s\tbytes/s\tmost\trows\tback after a cut\ttook")
		return err
	}
	begin := time.Now()
	var all exchange.Result
	n := float64(len(worlds))
	for _, w := range worlds {
		s, err := exchange.Play(exchange.World{World: w, Fresh: fresh})
		if err != nil {
			return fmt.Errorf("seed %d: %w", w.Seed, err)
		}
		all.FreshShare, all.CountedShare, all.CompleteShare = all.FreshShare+s.FreshShare/n, all.CountedShare+s.CountedShare/n, all.CompleteShare+s.CompleteShare/n
		all.MeanAge, all.MeanSlack = all.MeanAge+s.MeanAge/time.Duration(n), all.MeanSlack+s.MeanSlack/time.Duration(n)
		all.PacketRate, all.ByteRate = all.PacketRate+s.PacketRate/n, all.ByteRate+s.ByteRate/n
		all.MaxAge, all.MaxByteRate, all.MaxRows, all.RecoveryTime = max(all.MaxAge, s.MaxAge), max(all.MaxByteRate, s.MaxByteRate), max(all.MaxRows, s.MaxRows), max(all.RecoveryTime, s.RecoveryTime)
	}
	if worlds[0].CutTo == 0 {
		all.RecoveryTime = -1
	}
	ms := func(d time.Duration) time.Duration { return d.Round(time.Millisecond) }
	_, err := fmt.Fprintf(out, "%d\t%.2f\t%.4f\t%.4f\t%.3f\t%v\t%v\t%v\t%.1f\t%.0f\t%.0f\t%d\t%s\t%v\n", worlds[0].Nodes, worlds[0].Loss, all.FreshShare, all.CountedShare, all.CompleteShare,
		ms(all.MeanAge), ms(all.MaxAge), ms(all.MeanSlack), all.PacketRate, all.ByteRate, all.MaxByteRate, all.MaxRows, formatDuration(all.RecoveryTime), time.Since(begin).Round(10*time.Millisecond))
	return err
}
