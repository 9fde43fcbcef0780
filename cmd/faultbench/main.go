// Command faultbench runs experiments with hundreds of node processes, servers, clients and injected faults, and reports how
// evenly load was distributed and which rules were breached.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	root := &cobra.Command{Use: "faultbench", Short: "Run experiments with hundreds of nodes and injected faults",
		SilenceErrors: true, SilenceUsage: true}
	root.AddCommand(newRun(), newWeigh(), newCompare(), newExplore(), newCrowd(), newLeague(), newSoak(), newValidate())
	if err := root.ExecuteContext(ctx); err != nil {
		fmt.Fprintf(os.Stderr, "Error: %v\n", err)
		os.Exit(1)
	}
}

func newValidate() *cobra.Command {
	return &cobra.Command{Use: "validate FILE...", Short: "Validate experiment files", Args: cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			for _, path := range args {
				e, err := loadExperiment(path, 0)
				if err != nil {
					return err
				}
				fmt.Fprintf(cmd.OutOrStdout(), "%s: %d nodes, %d servers, %d faults, %v: %s\n", path, len(e.NodeZones()), e.ServerCount(), len(e.Faults), e.TotalDuration(), e.Note)
			}
			return nil
		}}
}
