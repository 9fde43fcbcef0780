package main

import (
	"fmt"
	"os"
	"slices"
	"time"

	"github.com/spf13/cobra"

	"damsontrestle/internal/budget"
	"damsontrestle/internal/faultbench/federation"
)

func newLeague() *cobra.Command {
	var (
		options  federation.Options
		scenario federation.Scenario
		binary   string
		seeds    int
		quota    float64
		baseline bool
	)
	cmd := &cobra.Command{Use: "league", Short: "Run gateways of several partners as processes, with injected faults",
		Long: "league starts gateways of several partners with their servers and clients, injects one kind of fault repeatedly, and\n" +
			"compares the outcomes at clients with the executions at servers. A breach of a rule makes the command fail. -baseline\n" +
			"runs the same without custody: clients themselves retry requests that are safe to retry.",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, args []string) error {
			if !slices.Contains(federation.Faults, scenario.Fault) {
				return fmt.Errorf("unknown fault %q; allowed: %v", scenario.Fault, federation.Faults)
			}
			if _, err := os.Stat(binary); err != nil {
				return fmt.Errorf("find the program: %w; build it first (go build -o bin/ ./cmd/...)", err)
			}
			options.Binary = binary
			options.Log = func(format string, args ...any) { fmt.Fprintf(cmd.ErrOrStderr(), format+"\n", args...) }
			if !baseline {
				options.Custody = "refuse"
			}
			failures := 0
			for s := range seeds {
				scenario.Seed = uint64(s + 1)
				options.Seed = scenario.Seed
				scenario.NotesBound = nil
				if quota > 0 {
					var text string
					rate := quota
					if options.QuotaPerPartner {
						rate /= float64(options.Partners)
					}
					scenario.NotesBound, text = quotaSettings(rate, options.Partners, options.Gateways)
					if options.QuotaPerPartner {
						complete, _ := quotaSettings(quota, options.Partners, options.Gateways)
						scenario.NotesBound = complete
					}
					options.Quota = text
				}
				begin := time.Now()
				run, err := federation.Start(cmd.Context(), options)
				if err != nil {
					return err
				}
				if err := run.Settle(cmd.Context(), 3*options.Partners); err != nil {
					run.Close()
					return err
				}
				ready := time.Since(begin)
				_, before := run.Cost()
				metrics := run.Play(cmd.Context(), scenario)
				memory, cpu := run.Cost()
				cpu -= before
				run.Close()
				mode := "custody"
				if baseline {
					mode = "none"
				}
				fmt.Fprintf(cmd.OutOrStdout(), "%d x %d, %s, custody %s, seed %d: %s; ready in %v; %.1f MB each, %v of processor time a call\n", options.Partners, options.Gateways, scenario.Fault, mode, scenario.Seed, metrics.Line(),
					ready.Round(10*time.Millisecond), float64(memory)/(1<<20), (cpu / time.Duration(max(1, metrics.Calls))).Round(time.Microsecond))
				for i, b := range metrics.Breaches {
					if i < 20 {
						fmt.Fprintln(cmd.OutOrStdout(), "  breach:", b)
					}
				}
				failures += len(metrics.Breaches)
				if metrics.Over > 1 {
					failures++
				}
			}
			if failures > 0 {
				return fmt.Errorf("%d breaches", failures)
			}
			return nil
		}}
	fl := cmd.Flags()
	fl.StringVar(&binary, "program", "bin/damsontrestle", "path of the program; fault points need a build with -tags rig")
	fl.IntVar(&options.Partners, "partners", 6, "number of partners")
	fl.IntVar(&options.Gateways, "gateways", 10, "gateways of each partner")
	fl.IntVar(&options.Servers, "boxes", 8, "servers of each partner")
	fl.IntVar(&options.Zones, "zones", 2, "zones of each partner")
	fl.IntVar(&options.Links, "links", 2, "links from each gateway to each partner")
	fl.DurationVar(&options.Service, "service", 100*time.Millisecond, "service time of a request at a server")
	fl.DurationVar(&options.Silence, "silence", time.Second, "silence after which a link is closed")
	fl.DurationVar(&scenario.RequestTimeout, "patience", 3*time.Second, "request timeout of clients")
	fl.DurationVar(&scenario.AttemptTimeout, "doubt", 750*time.Millisecond, "attempt timeout of clients, after which they retry at another gateway")
	fl.DurationVar(&scenario.Duration, "length", 20*time.Second, "duration of the run")
	fl.Float64Var(&scenario.Rate, "rate", 5, "requests per second to each gateway")
	fl.Float64Var(&scenario.RemoteShare, "away", 0.3, "share of requests for another partner")
	fl.StringVar(&scenario.Fault, "fault", "none", fmt.Sprint(federation.Faults))
	fl.DurationVar(&scenario.FaultInterval, "every", 200*time.Millisecond, "time between two faults")
	fl.DurationVar(&scenario.FaultDuration, "for", time.Second, "duration of a fault")
	fl.IntVar(&seeds, "seeds", 1, "number of seeds")
	fl.Float64Var(&quota, "quota", 0, "notes per second of all partners together; 0: no quota")
	fl.BoolVar(&options.QuotaPerPartner, "apart", false, "give each partner a separate part of the quota")
	fl.Float64Var(&scenario.LoadImbalance, "uneven", 0, "share by which every other partner receives more requests and the rest fewer; 0 to 1")
	fl.BoolVar(&baseline, "baseline", false, "run without custody")
	return cmd
}

// quotaSettings returns the bound and settings of a budget with equal weights for all partners and no floors.
func quotaSettings(rate float64, partners, gateways int) (func(time.Duration) float64, string) {
	terms := budget.Terms{Name: "notes", Rate: rate, Burst: max(10, rate), Overdraw: 0.05, Lease: 300 * time.Millisecond, LeaderTerm: time.Second, Fallback: budget.Closed}
	text := fmt.Sprintf(" rate = %v\n burst = %v\n term = \"1s\"\n wait = \"100ms\"\n when_cut = \"closed\"\n classes = [\"note\"]\n", terms.Rate, terms.Burst)
	for p := range partners {
		terms.Partners = append(terms.Partners, budget.Partner{Name: federation.PartnerName(p), Weight: 1, Gateways: gateways})
		text += fmt.Sprintf(" partner %q {\n gateways = %d\n }\n", federation.PartnerName(p), gateways)
	}
	return terms.Bound, text
}
