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

// newRoot returns the root command with all subcommands.
func newRoot() *cobra.Command {
	root := &cobra.Command{
		Use:   "damsontrestle",
		Short: "Run a load-balancing node, and preview and apply configuration changes",
		Long: "damsontrestle balances requests across servers.\n\n" +
			"Without arguments it runs the node that the platform configures through BALANCER_CONFIG. With a configuration\n" +
			"file, serve starts a node, plan shows the changes that the file would make to the running node, and apply\n" +
			"makes exactly these changes.",
		SilenceUsage:  true,
		SilenceErrors: true,
	}
	root.AddCommand(newServe(), newValidate(), newPlan(), newApply(), newShow(), newRollback(), newMembers(), newZoneState(), newVersion())
	return root
}

func newVersion() *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Show the revision and the Go version of this build",
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

// socketVariable is the environment variable with the admin socket's path, used if neither a flag nor a file sets it.
const socketVariable = "DAMSONTRESTLE_SOCKET"

// resolveSocket returns the path of the admin socket from the flag, the configuration file or the environment, in this order.
func resolveSocket(flag string, files []string) (string, error) {
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
	return "", fmt.Errorf("no admin socket is configured: set -socket, pass a file whose node block sets admin_socket, or set %s", socketVariable)
}

// queryDaemon returns a client of the daemon at socket and the daemon's current status.
func queryDaemon(ctx context.Context, socket string) (*admin.Client, admin.ShowResponse, error) {
	client := admin.NewClient(socket)
	show, err := client.Show(ctx)
	if errors.Is(err, admin.ErrNoDaemon) {
		err = fmt.Errorf("%w: start one with serve FILE, or set its socket with -socket", err)
	}
	return client, show, err
}
