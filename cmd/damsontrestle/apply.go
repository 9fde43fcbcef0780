package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"damsontrestle/internal/admin"
	"damsontrestle/internal/plan"
)

func join(list []string) string { return strings.Join(list, ", ") }

func newApply() *cobra.Command {
	var (
		socket          string
		wait            time.Duration
		changed, asJSON bool
	)
	cmd := &cobra.Command{
		Use:   "apply PLAN",
		Short: "Do exactly what a plan says",
		Long: "apply carries out a plan that plan -out wrote: all of it, or nothing if any step fails. It is refused if\n" +
			"something else runs by now than what the plan was made for, and, unless told otherwise, if the file that it\n" +
			"was made from says something else by now. The file's new text is never applied.",
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			text, err := os.ReadFile(args[0])
			if err != nil {
				return err
			}
			p, err := plan.Decode(text)
			if err != nil {
				return fmt.Errorf("%s: %w", args[0], err)
			}
			if err := sameFile(p.Source); err != nil && !changed {
				return fmt.Errorf("%w: plan again, or give -allow-changed-file to apply what was planned (not what the file says now)", err)
			}
			if socket == "" {
				socket = p.Socket
			}
			client := admin.NewClient(socket)
			running, err := client.Apply(cmd.Context(), text, wait, stepPrinter(cmd.OutOrStdout(), asJSON))
			return printOutcome(cmd.OutOrStdout(), running, err, asJSON, "Apply complete")
		},
	}
	cmd.Flags().StringVar(&socket, "socket", "", "the node's admin socket (default: the one that the plan was made through)")
	cmd.Flags().DurationVar(&wait, "wait", admin.DefaultWait, "how long to wait for new lists of servers")
	cmd.Flags().BoolVar(&changed, "allow-changed-file", false, "apply what was planned although the file has changed since")
	cmd.Flags().BoolVar(&asJSON, "json", false, "write a line of JSON for each step")
	return cmd
}

// sameFile says whether the file that a plan was made from still has that text.
func sameFile(s plan.Source) error {
	text, err := os.ReadFile(s.Path)
	if err != nil {
		return fmt.Errorf("the file that the plan was made from can't be read: %w", err)
	}
	if plan.Digest(text) != s.Digest {
		return fmt.Errorf("%s has changed since the plan was made", s.Path)
	}
	return nil
}

// stepPrinter writes a line for each step of a change as it ends.
func stepPrinter(out io.Writer, asJSON bool) func(admin.ChangeEvent) {
	return func(l admin.ChangeEvent) {
		if asJSON {
			json.NewEncoder(out).Encode(l)
			return
		}
		fmt.Fprintf(out, "  %-8s %s\n", l.Step, l.Took)
	}
}

// printOutcome writes the outcome of a change, or returns its error.
func printOutcome(out io.Writer, running plan.Running, err error, asJSON bool, done string) error {
	if errors.Is(err, admin.ErrTruncatedResponse) {
		return fmt.Errorf("%w; see what came of it with show", err)
	}
	if err != nil {
		return err
	}
	if asJSON {
		return json.NewEncoder(out).Encode(admin.ChangeEvent{Done: true, Running: &running})
	}
	fmt.Fprintf(out, "%s: node %q runs serial %d (%s).\n", done, running.Node, running.Serial, plan.ShortFingerprint(running.Fingerprint))
	return nil
}
