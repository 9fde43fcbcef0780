package main

import (
	"bufio"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"damsontrestle/internal/admin"
	"damsontrestle/internal/plan"
)

func newRollback() *cobra.Command {
	var (
		socket      string
		wait        time.Duration
		yes, asJSON bool
	)
	cmd := &cobra.Command{
		Use:   "rollback [FILE]",
		Short: "Go back to the configuration before the one that runs",
		Long: "rollback shows what going back to the configuration before would change, asks, and does it like an apply.\n" +
			"The file only names the node, by its admin socket. A second rollback undoes the first.",
		Args: cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			path, err := socketOf(socket, args)
			if err != nil {
				return err
			}
			client, show, err := askRunning(cmd.Context(), path)
			if err != nil {
				return err
			}
			if show.Previous == nil {
				return fmt.Errorf("node %q has no configuration before this one (serial %d)", show.Node, show.Serial)
			}
			out := cmd.OutOrStdout()
			if !asJSON {
				fmt.Fprintf(out, "Node %q runs serial %d (%s). Going back to that of serial %d (%s) would change:\n\n", show.Node, show.Serial,
					plan.ShortFingerprint(show.Fingerprint), show.Previous.Serial, plan.ShortFingerprint(show.Previous.Fingerprint))
				io.WriteString(out, plan.FormatChanges(plan.Diff(show.Config, show.PreviousConfig)))
			}
			if !yes && !confirmed(cmd.InOrStdin(), out) {
				return fmt.Errorf("not confirmed; nothing was changed (-auto-approve skips the question)")
			}
			running, err := client.Rollback(cmd.Context(), show.Running, wait, stepPrinter(out, asJSON))
			return printOutcome(out, running, err, asJSON, "Rollback complete")
		},
	}
	cmd.Flags().StringVar(&socket, "socket", "", "the node's admin socket (default: the file's)")
	cmd.Flags().DurationVar(&wait, "wait", admin.DefaultWait, "how long to wait for new lists of servers")
	cmd.Flags().BoolVar(&yes, "auto-approve", false, "do not ask")
	cmd.Flags().BoolVar(&asJSON, "json", false, "write a line of JSON for each step")
	return cmd
}

// confirmed asks for a confirmation, which is "yes" alone.
func confirmed(in io.Reader, out io.Writer) bool {
	fmt.Fprint(out, "\nOnly \"yes\" will be taken for a yes: ")
	line, _ := bufio.NewReader(in).ReadString('\n')
	fmt.Fprintln(out)
	return strings.TrimSpace(line) == "yes"
}
