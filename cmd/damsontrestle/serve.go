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
	var o daemon.Options
	cmd := &cobra.Command{
		Use:   "serve FILE",
		Short: "Run a node by a file",
		Long: "serve runs a node by a file. Where the file names a state folder that holds a configuration which was\n" +
			"applied since, that one runs, and the log says so: a file takes effect by plan and apply.\n\n" +
			"SIGHUP reads the file again and puts it in place, if it passes. SIGTERM and SIGINT end the node once\n" +
			"all that it has taken is answered.",
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			o.File = args[0]
			o.Log = slog.New(slog.NewTextHandler(cmd.ErrOrStderr(), nil))
			return serve(cmd.Context(), o)
		},
	}
	cmd.Flags().BoolVar(&o.FromFile, "from-file", false, "run the file, whatever the state folder holds")
	cmd.Flags().DurationVar(&o.Wait, "wait", admin.DefaultWait, "how long a reload waits for new lists of servers")
	return cmd
}

// serve runs a daemon until SIGTERM or SIGINT; SIGHUP has it reload its file.
func serve(ctx context.Context, o daemon.Options) error {
	// SIGHUP ends a program that does not catch it: it is caught before anything else.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	o.Node.SetLimits = node.SetProcessLimits
	o.Node.StartContext = ctx
	d, err := daemon.Start(o)
	if err != nil {
		if ctx.Err() != nil {
			o.Log.Info("told to end before it listened", "error", err)
			return nil // nothing was admitted
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
