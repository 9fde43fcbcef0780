package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"damsontrestle/internal/faultbench"
	"damsontrestle/internal/faultbench/experiment"
)

func newRun() *cobra.Command {
	var (
		seeds        int
		policies     []string
		programs     []string
		utilisations []float64
		out          string
		nodes        int
		quiet        bool
	)
	cmd := &cobra.Command{Use: "run FILE...", Short: "Run experiments with processes",
		Long: "run runs each experiment with every policy and every seed in turn, and prints a line for each. A policy is\n" +
			"program (processes of the program), random or jsq (the fault bench picks, for comparison). -program NAME=PATH names a\n" +
			"build, and may be repeated; the fault bench needs the machine to itself. A breach of a rule, or a\n" +
			"unexpected process exit makes the command fail, unless the fault bench itself was too slow to judge the result.",
		Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			var runs []faultbench.Options
			for _, p := range policies {
				if p != string(experiment.Program) {
					runs = append(runs, faultbench.Options{Policy: experiment.Policy(p)})
					continue
				}
				for _, program := range programs {
					name, path, named := strings.Cut(program, "=")
					if !named {
						name, path = "", program
					}
					if _, err := os.Stat(path); err != nil {
						return fmt.Errorf("find the program: %w; build it first (go build -o bin/ ./cmd/...)", err)
					}
					runs = append(runs, faultbench.Options{Policy: experiment.Program, Binary: path, Name: name})
				}
			}
			w := tabwriter.NewWriter(cmd.OutOrStdout(), 2, 0, 2, ' ', 0)
			writeHeading(w)
			breaches, slowRuns := 0, 0
			var notes []string
			for _, path := range args {
				for s := range seeds {
					for _, options := range runs {
						for _, utilisation := range append([]float64{0}, utilisations...) {
							if utilisation == 0 && len(utilisations) > 0 {
								continue
							}
							e, err := loadExperiment(path, 0)
							if err != nil {
								return err
							}
							e.Seed += uint64(s)
							override(e, utilisation, nodes)
							if !quiet {
								options.Log = func(format string, args ...any) {
									fmt.Fprintf(cmd.ErrOrStderr(), time.Now().Format("15:04:05.000")+" "+format+"\n", args...)
								}
							}
							res, err := faultbench.Run(cmd.Context(), e, options)
							if err != nil {
								return err
							}
							name := strings.TrimSuffix(res.Policy+" "+res.Program, " ")
							writeLine(w, e.Name, name, e.Seed, res.Figures)
							notes = append(notes, fmt.Sprintf("%s %s: %d processes ready in %v, %.0f MB resident each, %v of processor time a call; %d asks; rig %v, %.0f MB, %d descriptors; late %v, one in a hundred %v",
								e.Name, name, res.Cost.Processes, res.Cost.Starting.Round(time.Millisecond), float64(res.Cost.NodeMemory)/1e6, res.Cost.CPUPerCall.Round(time.Microsecond), res.Cost.Asks,
								res.Cost.RigCPU.Round(time.Millisecond), float64(res.Cost.RigMemory)/1e6, res.Cost.MostOpenRig, res.Cost.LateMost.Round(time.Millisecond), res.Cost.LateP99.Round(time.Microsecond)))
							if e.ProbeInterval > 0 {
								d := res.DeathDetection(len(e.NodeZones()))
								notes = append(notes, fmt.Sprintf("  peers: %d nodes struck, detected by %.3f of the others after %v (median), %v (most); %d false detections",
									d.Struck, d.Known, d.Median.Round(time.Millisecond), d.Most.Round(time.Millisecond), d.Wrongly))
							}
							if e.ZoneStateMaxAge > 0 {
								k := res.Freshness(len(e.NodeZones()), e.WarmUp, e.TotalDuration())
								notes = append(notes, fmt.Sprintf("  facts: fresh for %.4f of node, zone and time; %d stretches without, %v (median), %v (longest); a node sent %.1f datagrams and %.0f bytes a second, the one that sent most %.0f bytes",
									k.Share, k.Gaps, k.Median.Round(time.Millisecond), k.Longest.Round(time.Millisecond), res.Cost.Datagrams, res.Cost.DatagramBytes, res.Cost.MostBytes))
							}
							if res.Slow != "" {
								slowRuns++
								notes = append(notes, "  "+res.Slow)
							}
							breaches += len(res.Breaches)
							for i, b := range res.Breaches {
								if i == 10 {
									notes = append(notes, fmt.Sprintf("  and %d more", len(res.Breaches)-i))
									break
								}
								notes = append(notes, "  "+b.String())
							}
							if out != "" {
								if err := saveResult(out, res, utilisation); err != nil {
									return err
								}
							}
						}
					}
				}
			}
			w.Flush()
			for _, n := range notes {
				fmt.Fprintln(cmd.OutOrStdout(), n)
			}
			if breaches > 0 && slowRuns == 0 {
				return fmt.Errorf("%d breaches of rules", breaches)
			}
			return nil
		}}
	f := cmd.Flags()
	f.IntVar(&seeds, "seeds", 1, "number of seeds, starting from the file's")
	f.StringSliceVar(&policies, "policy", []string{"program"}, "program, random or jsq; several with commas")
	f.StringArrayVar(&programs, "program", []string{"bin/damsontrestle"}, "path of the program, or NAME=PATH")
	f.Float64SliceVar(&utilisations, "utilisation", nil, "utilisation of all slots, in place of the file's; several with commas")
	f.StringVar(&out, "out", "", "output folder for a JSON result of each run")
	f.IntVar(&nodes, "nodes", 0, "number of nodes, distributed as in the file; the total request rate stays the same")
	f.BoolVar(&quiet, "quiet", false, "do not log progress")
	return cmd
}

// override replaces the utilisation and the number of nodes where they are given.
func override(e *experiment.Experiment, utilisation float64, nodes int) {
	if utilisation > 0 {
		e.Clients.Rate, e.Clients.Utilisation = 0, utilisation
	}
	if nodes > 0 {
		oldNodes := len(e.NodeZones())
		if e.Clients.Rate > 0 {
			e.Clients.Rate *= float64(oldNodes) / float64(nodes)
		}
		for i := range e.Nodes {
			e.Nodes[i].Count = max(1, e.Nodes[i].Count*nodes/oldNodes)
		}
	}
}

// saveResult writes a result to its own file.
func saveResult(folder string, r *faultbench.Result, utilisation float64) error {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return fmt.Errorf("save result: %w", err)
	}
	text, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return fmt.Errorf("save result: %w", err)
	}
	name := fmt.Sprintf("%s-%s-%d.json", r.Experiment, strings.Trim(r.Policy+"-"+r.Program, "-"), r.Seed)
	if utilisation > 0 {
		name = fmt.Sprintf("%s-%.2f-%s-%d.json", r.Experiment, utilisation, strings.Trim(r.Policy+"-"+r.Program, "-"), r.Seed)
	}
	if err := os.WriteFile(filepath.Join(folder, name), append(text, '\n'), 0o644); err != nil {
		return fmt.Errorf("save result: %w", err)
	}
	return nil
}
