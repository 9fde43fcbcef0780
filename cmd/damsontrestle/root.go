package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"runtime/debug"

	"github.com/spf13/cobra"

	"damsontrestle/internal/admin"
	"damsontrestle/internal/config"
)

// newRoot returns the commands.
func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:   "damsontrestle",
		Short: "A load-balancing node, and the commands that preview and change what it runs",
		Long: "damsontrestle balances calls over servers.\n\n" +
			"With no arguments it is the node that the platform starts (BALANCER_CONFIG). With a file of its own it is\n" +
			"started by serve and changed by plan and apply: plan shows what a file would change in the running node,\n" +
			"apply does exactly that.",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(newServe(), newValidate(), newPlan(), newApply(), newShow(), newRollback(), newMembers(), newZoneState(), newVersion())
	return root
}

func newVersion() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Tell what this program was built from",
		Args:  cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			version := "devel"
			if info, ok := debug.ReadBuildInfo(); ok {
				version = info.GoVersion
				for _, s := range info.Settings {
					if s.Key == "vcs.revision" {
						version = s.Value + " " + version
					}
				}
			}
			fmt.Fprintln(cmd.OutOrStdout(), "damsontrestle", version)
			return nil
		},
	}
}

// socketVariable names the admin socket where no flag and no file does.
const socketVariable = "DAMSONTRESTLE_SOCKET"

// socketOf settles on the admin socket: the flag, then the file's, then the environment's.
func socketOf(flag string, files []string) (string, error) {
	if flag != "" {
		return flag, nil
	}
	if len(files) > 0 {
		cfg, problems := config.Load(files[0])
		if err := problems.Err(); err != nil {
			return "", err
		}
		if cfg.Node.AdminSocket != "" {
			return cfg.Node.AdminSocket, nil
		}
	}
	if s := os.Getenv(socketVariable); s != "" {
		return s, nil
	}
	return "", fmt.Errorf("no admin socket is named: give -socket, a file whose node block has admin_socket, or %s", socketVariable)
}

// askRunning asks a daemon what it runs.
func askRunning(ctx context.Context, socket string) (*admin.Client, admin.ShowResponse, error) {
	client := admin.NewClient(socket)
	show, err := client.Show(ctx)
	if errors.Is(err, admin.ErrNoDaemon) {
		err = fmt.Errorf("%w: start one with serve FILE, or name its socket with -socket", err)
	}
	return client, show, err
}
