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

func commaSeparated(list []string) string { return strings.Join(list, ", ") }

func newApply() *cobra.Command {
	var (
		socket               string
		wait                 time.Duration
		allowChanged, asJSON bool
	)
	cmd := &cobra.Command{
		Use:   "apply PLAN",
		Short: "Apply a saved plan to the running node",
		Long: "apply applies a plan written by plan -out. It applies all changes, or none if a step fails. It fails if the\n" +
			"running configuration is no longer the one that the plan was made for. It also fails if the configuration\n" +
			"file has changed since the plan was made, unless -allow-changed-file is set; the changed file is never applied.",
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			encoded, err := os.ReadFile(args[0])
			if err != nil {
				return err
			}
			p, err := plan.Decode(encoded)
			if err != nil {
				return fmt.Errorf("%s: %w", args[0], err)
			}
			if err := checkSourceUnchanged(p.Source); err != nil && !allowChanged {
				return fmt.Errorf("%w: plan again, or give -allow-changed-file to apply the plan as it was made, without the changes to the file", err)
			}
			if socket == "" {
				socket = p.Socket
			}
			client := admin.NewClient(socket)
			running, err := client.Apply(cmd.Context(), encoded, wait, stepPrinter(cmd.OutOrStdout(), asJSON))
			return printOutcome(cmd.OutOrStdout(), running, err, asJSON, "Apply complete")
		},
	}
	cmd.Flags().StringVar(&socket, "socket", "", "the node's admin socket (default: the socket recorded in the plan)")
	cmd.Flags().DurationVar(&wait, "wait", admin.DefaultWait, "how long to wait for new endpoint lists")
	cmd.Flags().BoolVar(&allowChanged, "allow-changed-file", false, "apply the plan even if the configuration file has changed since it was made")
	cmd.Flags().BoolVar(&asJSON, "json", false, "write one line of JSON per step")
	return cmd
}

// checkSourceUnchanged returns an error if the file that a plan was made from has changed or can't be read.
func checkSourceUnchanged(s plan.Source) error {
	text, err := os.ReadFile(s.Path)
	if err != nil {
		return fmt.Errorf("can't read the file that the plan was made from: %w", err)
	}
	if plan.Digest(text) != s.Digest {
		return fmt.Errorf("%s has changed since the plan was made", s.Path)
	}
	return nil
}

// stepPrinter returns a function that writes a line for each completed step of a change.
func stepPrinter(out io.Writer, asJSON bool) func(admin.ChangeEvent) {
	return func(event admin.ChangeEvent) {
		if asJSON {
			json.NewEncoder(out).Encode(event)
			return
		}
		fmt.Fprintf(out, "  %-8s %s\n", event.Step, event.Took)
	}
}

// printOutcome writes the result of a successful change. It returns the error of a failed one.
func printOutcome(out io.Writer, running plan.Running, err error, asJSON bool, done string) error {
	if errors.Is(err, admin.ErrTruncatedResponse) {
		return fmt.Errorf("%w; run show to see whether the change was made", err)
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
