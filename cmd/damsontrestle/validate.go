package main

import (
	"encoding/json"
	"fmt"

	"github.com/spf13/cobra"

	"damsontrestle/internal/config"
)

func newValidate() *cobra.Command {
	var asJSON bool
	cmd := &cobra.Command{
		Use:   "validate FILE",
		Short: "Check a configuration file without contacting a node",
		Long:  "validate checks a configuration file and reports every problem. It exits with 0 if a node could run the file, and with 1 otherwise.",
		Args:  cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			cfg, problems := config.Load(args[0])
			out := cmd.OutOrStdout()
			if asJSON {
				result := struct {
					Valid    bool            `json:"valid"`
					Problems config.Problems `json:"problems"`
				}{problems.Err() == nil, problems}
				if result.Problems == nil {
					result.Problems = config.Problems{}
				}
				if err := json.NewEncoder(out).Encode(result); err != nil {
					return err
				}
				if !result.Valid {
					return exitError{code: 1}
				}
				return nil
			}
			for _, p := range problems {
				fmt.Fprintln(cmd.ErrOrStderr(), p.Error())
			}
			if e := problems.Errors(); len(e) > 0 {
				return exitError{1, fmt.Errorf("%d validation errors in %s", len(e), args[0])}
			}
			needs := cfg.Needs()
			fmt.Fprintf(out, "%s is valid: %d classes, %d listeners, %d pools, %d routes; needs %d of %d descriptors and about %v of %v memory.\n",
				args[0], len(cfg.Classes), len(cfg.Listeners), len(cfg.Pools), len(cfg.Routes), needs.Descriptors, cfg.Node.Limits.Descriptors,
				needs.Memory.RoundUpToMiB(), cfg.Node.Limits.Memory)
			return nil
		},
	}
	cmd.Flags().BoolVar(&asJSON, "json", false, "write the result as JSON")
	return cmd
}
