package main

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/spf13/cobra"

	"damsontrestle/internal/faultbench"
	"damsontrestle/internal/faultbench/experiment"
	"damsontrestle/internal/faultbench/soak"
)

// errSoakFailed is returned if a run of the soak breached a rule.
var errSoakFailed = errors.New("a run breached a rule")

func newSoak() *cobra.Command {
	var (
		first    uint64
		seeds    int
		parallel int
		program  string
		verbose  bool
	)
	cmd := &cobra.Command{Use: "soak", Short: "Run generated experiments with overlapping faults, one for each seed",
		Long: "soak runs the experiment that each seed generates with processes of the program, and prints a line for each run and\n" +
			"every breach of a rule. To repeat a run, give its seed as -seed.",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			next := make(chan uint64)
			go func() {
				defer close(next)
				for i := range seeds {
					next <- first + uint64(i)
				}
			}()
			var output sync.Mutex
			var runs sync.WaitGroup
			var failed error
			for range parallel {
				runs.Go(func() {
					for seed := range next {
						report, err := runSoak(cmd.Context(), seed, program, verbose)
						output.Lock()
						fmt.Fprint(cmd.OutOrStdout(), report)
						failed = errors.Join(failed, err)
						output.Unlock()
					}
				})
			}
			runs.Wait()
			return failed
		}}
	flags := cmd.Flags()
	flags.Uint64Var(&first, "seed", 1, "seed of the first run")
	flags.IntVar(&seeds, "seeds", 1, "number of runs, with consecutive seeds")
	flags.IntVar(&parallel, "parallel", 1, "number of runs at the same time")
	flags.StringVar(&program, "program", "bin/damsontrestle", "path of the program")
	flags.BoolVar(&verbose, "verbose", false, "print the faults of each run and the warnings of its nodes")
	return cmd
}

// warningLog collects the warnings that nodes log, and the responses that they made themselves or broke off.
type warningLog struct {
	mu   sync.Mutex
	text strings.Builder
}

func (w *warningLog) add(at time.Duration, node int, line string) {
	isEnding := strings.Contains(line, `msg="request refused"`) || strings.Contains(line, `msg="response `)
	if !isEnding && !strings.Contains(line, "level=WARN") {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	fmt.Fprintf(&w.text, "  %v n%d: %s\n", at.Round(time.Millisecond), node, line)
}

// String implements fmt.Stringer.
func (w *warningLog) String() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.text.String()
}

// runSoak runs the experiment of a seed and returns a report of one line, and one more for each breach.
func runSoak(ctx context.Context, seed uint64, program string, verbose bool) (report string, err error) {
	e := soak.Generate(seed)
	options := faultbench.Options{Policy: experiment.Program, Binary: program}
	var warnings warningLog
	if verbose {
		options.OnLogLine = warnings.add
	}
	result, err := faultbench.Run(ctx, e, options)
	if err != nil {
		return fmt.Sprintf("seed %d: not judged: %v\n", seed, err), err
	}
	verdict := "passed"
	switch {
	case len(result.Breaches) > 0:
		verdict = fmt.Sprintf("FAILED, %d breaches", len(result.Breaches))
		err = fmt.Errorf("seed %d: %w", seed, errSoakFailed)
	case result.Slow != "":
		verdict = "passed, though the fault bench was slow"
	}
	f := result.Figures
	report = fmt.Sprintf("seed %d: %s; %d requests, %.3f served, p99 %v, %d connections to servers\n", seed, verdict, f.Calls, f.Served, f.P99, result.Cost.ServerConnections)
	if verbose {
		for _, fault := range e.Faults {
			report += fmt.Sprintf("  %s from %v to %v\n", fault.Name, fault.From, fault.To)
		}
		report += warnings.String()
	}
	if result.Slow != "" {
		report += "  " + result.Slow + "\n"
	}
	for _, breach := range result.Breaches {
		report += "  " + breach.String() + "\n"
	}
	return report, err
}
