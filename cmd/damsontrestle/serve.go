package main

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"damsontrestle/internal/admin"
	"damsontrestle/internal/daemon"
	"damsontrestle/internal/node"
)

func newServe() *cobra.Command {
	var options daemon.Options
	cmd := &cobra.Command{
		Use:   "serve FILE",
		Short: "Run a node from a configuration file",
		Long: "serve runs a node from a configuration file. If the file's state folder holds a configuration that was applied\n" +
			"since, the node runs that one and logs it: changes to the file take effect through plan and apply.\n\n" +
			"SIGHUP reloads the file and applies it if it is valid. SIGTERM and SIGINT stop the node after every admitted\n" +
			"request is answered.",
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			options.File = args[0]
			options.Log = slog.New(slog.NewTextHandler(cmd.ErrOrStderr(), nil))
			return serve(cmd.Context(), options)
		},
	}
	cmd.Flags().BoolVar(&options.FromFile, "from-file", false, "run the file, even if the state folder holds another configuration")
	cmd.Flags().DurationVar(&options.Wait, "wait", admin.DefaultWait, "how long a reload waits for new endpoint lists")
	return cmd
}

// serve runs a daemon until SIGTERM or SIGINT. SIGHUP reloads its file.
func serve(ctx context.Context, options daemon.Options) error {
	// An unhandled SIGHUP ends the process, so its handler is installed first.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	options.Node.SetLimits = node.SetProcessLimits
	options.Node.StartContext = ctx
	d, err := daemon.Start(options)
	if err != nil {
		if ctx.Err() != nil {
			options.Log.Info("shutdown requested before the node was listening", "error", err)
			return nil // no request was admitted
		}
		return err
	}
	go func() {
		for range hangups {
			d.Reload()
		}
	}()
	return d.Run(ctx)
}
