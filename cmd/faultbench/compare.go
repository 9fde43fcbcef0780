package main

import (
	"fmt"
	"os"
	"path/filepath"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"damsontrestle/internal/faultbench"
	"damsontrestle/internal/faultbench/report"
)

func newCompare() *cobra.Command {
	var page, title string
	cmd := &cobra.Command{Use: "compare FOLDER-A FOLDER-B", Short: "Compare the results in two folders, paired by seed",
		Args: cobra.ExactArgs(2),
		RunE: func(cmd *cobra.Command, args []string) error {
			a, err := loadResults(args[0])
			if err != nil {
				return err
			}
			b, err := loadResults(args[1])
			if err != nil {
				return err
			}
			pairs, excluded := report.Pairs(a, b)
			if len(pairs) == 0 {
				return fmt.Errorf("compare: %s and %s have no experiment with the same seed", args[0], args[1])
			}
			w := tabwriter.NewWriter(cmd.OutOrStdout(), 2, 0, 2, ' ', 0)
			fmt.Fprintf(w, "%d pairs\tA\tB\tB - A\t95 of 100 resamples\n", len(pairs))
			for _, r := range report.Compare(pairs) {
				fmt.Fprintf(w, "%s %s\t%.3f\t%.3f\t%+.3f\t%+.3f to %+.3f\n", r.Name, r.Unit, r.A, r.B, r.Difference, r.Low, r.High)
			}
			w.Flush()
			for _, l := range excluded {
				fmt.Fprintf(cmd.OutOrStdout(), "excluded: %s\n", l)
			}
			if page == "" {
				return nil
			}
			f, err := os.Create(page)
			if err != nil {
				return fmt.Errorf("report: %w", err)
			}
			if err := report.Page(f, title, args[0], args[1], pairs, excluded); err != nil {
				f.Close()
				return err
			}
			return f.Close()
		}}
	cmd.Flags().StringVar(&page, "page", "", "output file for an HTML page with plots")
	cmd.Flags().StringVar(&title, "title", "Two sets of runs", "title of the page")
	return cmd
}

// loadResults reads all results in a folder.
func loadResults(folder string) (out []*faultbench.Result, err error) {
	paths, err := filepath.Glob(filepath.Join(folder, "*.json"))
	if err != nil || len(paths) == 0 {
		return nil, fmt.Errorf("load results: no result files in %s", folder)
	}
	for _, p := range paths {
		r, err := report.Load(p)
		if err != nil {
			return nil, err
		}
		out = append(out, r)
	}
	return out, nil
}
