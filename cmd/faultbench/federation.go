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
		o        federation.Options
		d        federation.Scenario
		binary   string
		seeds    int
		quota    float64
		baseline bool
	)
	cmd := &cobra.Command{Use: "league", Short: "Run gateways of several partners as processes, with injected faults",
		Long: "league starts gateways of several partners, their boxes and callers, strikes them with one kind of fault over and\n" +
			"over, and prints what callers heard against what boxes ran. A breach of a rule makes the command fail. -baseline\n" +
			"plays the same without custody: callers send again by themselves what is harmless to send again.",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, args []string) error {
			if !slices.Contains(federation.Faults, d.Fault) {
				return fmt.Errorf("unknown fault %q; allowed: %v", d.Fault, federation.Faults)
			}
			if _, err := os.Stat(binary); err != nil {
				return fmt.Errorf("the program: %w; build it first (go build -o bin/ ./cmd/...)", err)
			}
			o.Binary = binary
			o.Log = func(format string, args ...any) { fmt.Fprintf(cmd.ErrOrStderr(), format+"\n", args...) }
			if !baseline {
				o.Custody = "refuse"
			}
			broken := 0
			for s := range seeds {
				d.Seed = uint64(s + 1)
				o.Seed = d.Seed
				d.NotesBound = nil
				if quota > 0 {
					var text string
					part := quota
					if o.QuotaPerPartner {
						part /= float64(o.Partners)
					}
					d.NotesBound, text = quotaSettings(part, o.Partners, o.Gateways)
					if o.QuotaPerPartner {
						complete, _ := quotaSettings(quota, o.Partners, o.Gateways)
						d.NotesBound = complete
					}
					o.Quota = text
				}
				begin := time.Now()
				l, err := federation.Start(cmd.Context(), o)
				if err != nil {
					return err
				}
				if err := l.Settle(cmd.Context(), 3*o.Partners); err != nil {
					l.Close()
					return err
				}
				ready := time.Since(begin)
				_, before := l.Cost()
				f := l.Play(cmd.Context(), d)
				memory, cpu := l.Cost()
				cpu -= before
				l.Close()
				what := "custody"
				if baseline {
					what = "none"
				}
				fmt.Fprintf(cmd.OutOrStdout(), "%d x %d, %s, custody %s, seed %d: %s; ready in %v; %.1f MB each, %v of processor time a call\n", o.Partners, o.Gateways, d.Fault, what, d.Seed, f.Line(),
					ready.Round(10*time.Millisecond), float64(memory)/(1<<20), (cpu / time.Duration(max(1, f.Calls))).Round(time.Microsecond))
				for i, b := range f.Breaches {
					if i < 20 {
						fmt.Fprintln(cmd.OutOrStdout(), "  breach:", b)
					}
				}
				broken += len(f.Breaches)
				if f.Over > 1 {
					broken++
				}
			}
			if broken > 0 {
				return fmt.Errorf("%d breaches", broken)
			}
			return nil
		}}
	fl := cmd.Flags()
	fl.StringVar(&binary, "program", "bin/damsontrestle", "the program; one that is built with -tags rig for faults at points")
	fl.IntVar(&o.Partners, "partners", 6, "")
	fl.IntVar(&o.Gateways, "gateways", 10, "of each partner")
	fl.IntVar(&o.Servers, "boxes", 8, "of each partner")
	fl.IntVar(&o.Zones, "zones", 2, "of each partner")
	fl.IntVar(&o.Links, "links", 2, "that each gateway holds to each partner")
	fl.DurationVar(&o.Service, "service", 100*time.Millisecond, "that a box takes for a call")
	fl.DurationVar(&o.Silence, "silence", time.Second, "that ends a link")
	fl.DurationVar(&d.RequestTimeout, "patience", 3*time.Second, "of callers")
	fl.DurationVar(&d.AttemptTimeout, "doubt", 750*time.Millisecond, "of callers, after which they ask another gateway")
	fl.DurationVar(&d.Duration, "length", 20*time.Second, "")
	fl.Float64Var(&d.Rate, "rate", 5, "calls a second that come to each gateway")
	fl.Float64Var(&d.RemoteShare, "away", 0.3, "share of calls for another partner")
	fl.StringVar(&d.Fault, "fault", "none", fmt.Sprint(federation.Faults))
	fl.DurationVar(&d.FaultInterval, "every", 200*time.Millisecond, "between two faults")
	fl.DurationVar(&d.FaultDuration, "for", time.Second, "that a fault lasts")
	fl.IntVar(&seeds, "seeds", 1, "")
	fl.Float64Var(&quota, "quota", 0, "notes a second that all partners may call together; 0: no quota")
	fl.BoolVar(&o.QuotaPerPartner, "apart", false, "each partner has its part of the quota for itself")
	fl.Float64Var(&d.LoadImbalance, "uneven", 0, "by how much more calls come to every other partner, and less to the rest; 0 to 1")
	fl.BoolVar(&baseline, "baseline", false, "without custody")
	return cmd
}

// quotaSettings returns the bound and settings of a budget with equal weights for all partners and no floors.
func quotaSettings(rate float64, partners, gateways int) (func(time.Duration) float64, string) {
	t := budget.Terms{Name: "notes", Rate: rate, Burst: max(10, rate), Overdraw: 0.05, Lease: 300 * time.Millisecond, LeaderTerm: time.Second, Fallback: budget.Closed}
	text := fmt.Sprintf(" rate = %v\n burst = %v\n term = \"1s\"\n wait = \"100ms\"\n when_cut = \"closed\"\n classes = [\"note\"]\n", t.Rate, t.Burst)
	for p := range partners {
		t.Partners = append(t.Partners, budget.Partner{Name: federation.PartnerName(p), Weight: 1, Gateways: gateways})
		text += fmt.Sprintf(" partner %q {\n gateways = %d\n }\n", federation.PartnerName(p), gateways)
	}
	return t.Bound, text
}
