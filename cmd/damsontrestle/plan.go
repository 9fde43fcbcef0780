package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/google/renameio/v2"
	"github.com/spf13/cobra"

	"damsontrestle/internal/config"
	"damsontrestle/internal/plan"
)

// Exit codes of plan with -detailed-exitcode, the same as those of Terraform.
const (
	exitNoChange = 0
	exitChanges  = 2
)

// planOptions are the flags of plan.
type planOptions struct {
	out              string
	socket           string
	json             bool
	detailedExitCode bool // exit with exitChanges if there are changes
}

func newPlan() *cobra.Command {
	var options planOptions
	cmd := &cobra.Command{
		Use:   "plan FILE",
		Short: "Show the changes that a configuration file would make to the running node",
		Long: "plan reads a configuration file and shows each field that it would change in the running node, and the effect of\n" +
			"each change. It changes nothing. With -out it saves the plan to a file, which apply applies exactly.",
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error { return runPlan(cmd, args[0], options) },
	}
	cmd.Flags().StringVar(&options.out, "out", "", "save the plan to this file, for apply")
	cmd.Flags().StringVar(&options.socket, "socket", "", "the node's admin socket (default: the file's)")
	cmd.Flags().BoolVar(&options.json, "json", false, "write the plan as JSON")
	cmd.Flags().BoolVar(&options.detailedExitCode, "detailed-exitcode", false, "exit with 0 for no changes, 2 for changes, 1 for an error")
	return cmd
}

// runPlan plans the change from the running configuration to the file at path, and writes the plan.
func runPlan(cmd *cobra.Command, path string, options planOptions) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	cfg, problems := config.Parse(text, path)
	if err := problems.Err(); err != nil {
		return err
	}
	p, err := makePlan(cmd.Context(), cfg, path, text, options.socket)
	if err != nil {
		return err
	}
	if options.out != "" {
		encoded, err := p.Encode()
		if err != nil {
			return err
		}
		if err := renameio.WriteFile(options.out, encoded, 0o600); err != nil {
			return fmt.Errorf("plan: %w", err)
		}
	}
	if options.json {
		if err := writePlanJSON(cmd.OutOrStdout(), p, cfg, problems.Warnings()); err != nil {
			return err
		}
	} else {
		writePlanText(cmd.OutOrStdout(), p, cfg, problems.Warnings(), options.out)
	}
	if options.detailedExitCode && len(p.Changes) > 0 {
		return exitError{code: exitChanges}
	}
	return nil
}

// makePlan plans the change from the configuration of the daemon at socket to cfg, which was read from the file at path
// with the contents text. If socket is empty, the admin socket of cfg is used.
func makePlan(ctx context.Context, cfg *config.Config, path string, text []byte, socket string) (*plan.Plan, error) {
	if socket == "" {
		socket = cfg.Node.AdminSocket
	}
	socket, err := resolveSocket(socket, nil)
	if err != nil {
		return nil, err
	}
	_, show, err := queryDaemon(ctx, socket)
	if err != nil {
		return nil, err
	}
	absolute, err := filepath.Abs(path)
	if err != nil {
		return nil, err
	}
	source := plan.Source{Path: absolute, Digest: plan.Digest(text)}
	p := plan.New(show.Running, show.Config, cfg, source, socket, time.Now())
	if err := p.CheckBase(show.Running); err != nil {
		return nil, err
	}
	return p, nil
}

// planJSON is the JSON output of plan.
type planJSON struct {
	Format   int             `json:"format_version"`
	Base     plan.Running    `json:"base"`
	Result   string          `json:"result"`
	Changes  []plan.Change   `json:"changes"`
	Summary  plan.Summary    `json:"summary"`
	Restart  []string        `json:"needs_restart"`
	Needs    config.Needs    `json:"needs"`
	Limits   config.Limits   `json:"limits"`
	Warnings config.Problems `json:"warnings"`
}

func writePlanJSON(to io.Writer, p *plan.Plan, cfg *config.Config, warnings config.Problems) error {
	out := planJSON{
		Format:   plan.Format,
		Base:     p.Base,
		Result:   p.Result,
		Changes:  p.Changes,
		Summary:  plan.Summarize(p.Changes),
		Restart:  plan.RestartFields(p.Changes),
		Needs:    cfg.Needs(),
		Limits:   cfg.Node.Limits,
		Warnings: warnings,
	}
	if out.Changes == nil {
		out.Changes = []plan.Change{}
	}
	if out.Restart == nil {
		out.Restart = []string{}
	}
	if out.Warnings == nil {
		out.Warnings = config.Problems{}
	}
	return json.NewEncoder(to).Encode(out)
}

func writePlanText(out io.Writer, p *plan.Plan, cfg *config.Config, warnings config.Problems, path string) {
	for _, w := range warnings {
		fmt.Fprintln(out, w.Error())
	}
	if len(p.Changes) == 0 {
		fmt.Fprintf(out, "No changes. Node %q already runs this configuration (serial %d, %s).\n", p.Base.Node, p.Base.Serial, plan.ShortFingerprint(p.Base.Fingerprint))
		return
	}
	fmt.Fprintf(out, "Node %q runs serial %d (%s). The file would change:\n\n", p.Base.Node, p.Base.Serial, plan.ShortFingerprint(p.Base.Fingerprint))
	io.WriteString(out, plan.FormatChanges(p.Changes))
	needs := cfg.Needs()
	fmt.Fprintf(out, "Needs %d of %d descriptors and about %v of %v memory.\n", needs.Descriptors, cfg.Node.Limits.Descriptors, needs.Memory.RoundUpToMiB(), cfg.Node.Limits.Memory)
	for _, w := range cfg.FederationSummary() {
		fmt.Fprintf(out, "%s.\n", w)
	}
	if r := plan.RestartFields(p.Changes); len(r) > 0 {
		fmt.Fprintf(out, "Takes effect only after a restart: %s.\n", commaSeparated(r))
	}
	if path != "" {
		fmt.Fprintf(out, "\nSaved to %s. To apply exactly these changes, run:\n    damsontrestle apply %s\n", path, path)
	}
}
