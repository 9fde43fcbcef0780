package main

import (
	"fmt"
	"io"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"damsontrestle/internal/balancer"
	"damsontrestle/internal/faultbench/audit"
	"damsontrestle/internal/faultbench/experiment"
	"damsontrestle/internal/faultbench/virtual"
)

// loadExperiment reads an experiment; a seed above 0 replaces the file's.
func loadExperiment(path string, seed uint64) (*experiment.Experiment, error) {
	e, err := experiment.Load(path)
	if err == nil && seed > 0 {
		e.Seed = seed
	}
	return e, err
}

func newWeigh() *cobra.Command {
	var seeds, asks int
	var exchange virtual.LoadExchange
	var policies []string
	var utilisation []float64
	cmd := &cobra.Command{Use: "weigh FILE...", Short: "Run experiments on virtual time, with the balancer module in place of processes",
		Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			w := tabwriter.NewWriter(cmd.OutOrStdout(), 2, 0, 2, ' ', 0)
			defer w.Flush()
			writeHeading(w)
			for _, path := range args {
				for _, policy := range policies {
					for s := range seeds {
						e, err := loadExperiment(path, 0)
						if err != nil {
							return err
						}
						e.Seed += uint64(s)
						if len(utilisation) > 0 {
							e.Clients.Rate, e.Clients.Utilisation = 0, utilisation[0]
						}
						a, f, err := virtual.PlayWithExchange(e, experiment.Policy(policy), func(s *balancer.Settings) {
							if asks >= 0 {
								s.PollChoices = asks
							}
						}, exchange)
						if err != nil {
							return err
						}
						writeLine(w, e.Name, policy, e.Seed, f)
						for i, b := range a.Breaches(0) {
							if i < 5 {
								fmt.Fprintln(w, b)
							}
						}
					}
				}
			}
			return nil
		}}
	cmd.Flags().StringSliceVar(&policies, "policy", []string{"random", "program", "jsq"}, "random, program or jsq; several with commas")
	cmd.Flags().DurationVar(&exchange.Age, "told", 0, "age of the other nodes' request counts that nodes receive; 0: nodes receive none")
	cmd.Flags().Float64Var(&exchange.CutShare, "cut", 0, "share of the links between nodes that carry no such counts")
	cmd.Flags().IntVar(&asks, "asks", -1, "servers that a node polls before a request, in place of the file's")
	cmd.Flags().IntVar(&seeds, "seeds", 1, "number of seeds, starting from the file's")
	cmd.Flags().Float64SliceVar(&utilisation, "utilisation", nil, "utilisation of all slots, in place of the file's")
	return cmd
}

func writeHeading(w io.Writer) {
	fmt.Fprintln(w, "experiment\tpolicy\tseed\tcalls\tin aim\tserved\trefused\tfailed\tp50\tp99\tutil\twaiting\tidle while queued\tvariation\t1s most\t10s least..most (chance)\tlongest idle\tconnections, most\tattempts\tcrossings")
}

func writeLine(w io.Writer, name, policy string, seed uint64, f audit.Metrics) {
	ten := f.Spread.Windows["10s"]
	fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%.3f\t%.3f\t%.3f\t%.3f\t%.0f ms\t%.0f ms\t%.2f\t%.3f\t%.3f\t%.2f\t%.2f\t%.2f..%.2f (%.2f..%.2f)\t%.1f s\t%.1f, %.2f\t%.2f\t%.2f\n", name, policy, seed,
		f.Calls, f.InAim, f.Served, f.Refused, f.Failed+f.NotTaken, f.P50.Seconds()*1e3, f.P99.Seconds()*1e3, f.Utilisation, f.Waiting,
		f.Spread.IdleWhileQueued, f.Spread.Variation, f.Spread.Windows["1s"].Most, ten.Least, ten.Most, ten.ChanceLeast, ten.ChanceMost,
		f.Spread.LongestIdle.Seconds(), f.Connections, f.MostConns, f.Attempts, f.Crossings)
}
