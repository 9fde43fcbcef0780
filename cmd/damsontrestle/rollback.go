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
		socket              string
		wait                time.Duration
		autoApprove, asJSON bool
	)
	cmd := &cobra.Command{
		Use:   "rollback [FILE]",
		Short: "Restore the previous configuration",
		Long: "rollback shows the changes back to the previous configuration, asks for confirmation, and applies them as apply does.\n" +
			"The file is only read for the node's admin socket. A second rollback undoes the first.",
		Args: cobra.MaximumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			path, err := resolveSocket(socket, args)
			if err != nil {
				return err
			}
			client, show, err := queryDaemon(cmd.Context(), path)
			if err != nil {
				return err
			}
			if show.Previous == nil {
				return fmt.Errorf("node %q has no previous configuration (serial %d)", show.Node, show.Serial)
			}
			out := cmd.OutOrStdout()
			if !asJSON {
				fmt.Fprintf(out, "Node %q runs serial %d (%s). Restoring serial %d (%s) would change:\n\n", show.Node, show.Serial,
					plan.ShortFingerprint(show.Fingerprint), show.Previous.Serial, plan.ShortFingerprint(show.Previous.Fingerprint))
				io.WriteString(out, plan.FormatChanges(plan.Diff(show.Config, show.PreviousConfig)))
			}
			if !autoApprove && !confirmed(cmd.InOrStdin(), out) {
				return fmt.Errorf("rollback not confirmed; nothing was changed (-auto-approve skips the confirmation)")
			}
			running, err := client.Rollback(cmd.Context(), show.Running, wait, stepPrinter(out, asJSON))
			return printOutcome(out, running, err, asJSON, "Rollback complete")
		},
	}
	cmd.Flags().StringVar(&socket, "socket", "", "the node's admin socket (default: the file's)")
	cmd.Flags().DurationVar(&wait, "wait", admin.DefaultWait, "how long to wait for new endpoint lists")
	cmd.Flags().BoolVar(&autoApprove, "auto-approve", false, "skip the confirmation")
	cmd.Flags().BoolVar(&asJSON, "json", false, "write one line of JSON per step")
	return cmd
}

// confirmed asks for confirmation and reports whether the answer is "yes".
func confirmed(in io.Reader, out io.Writer) bool {
	fmt.Fprint(out, "\nEnter \"yes\" to confirm: ")
	line, _ := bufio.NewReader(in).ReadString('\n')
	fmt.Fprintln(out)
	return strings.TrimSpace(line) == "yes"
}
