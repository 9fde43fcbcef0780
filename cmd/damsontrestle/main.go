// Command damsontrestle runs a load-balancing node on real sockets. Without arguments it runs the node that the
// platform configures through BALANCER_CONFIG. Its subcommands run a node from an HCL configuration file and change it.
package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"damsontrestle/internal/config"
	"damsontrestle/internal/hotrestart"
	"damsontrestle/internal/node"
)

func main() {
	if len(os.Args) > 1 {
		os.Exit(runCommand(os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
	}
	if err := servePlatform(); err != nil {
		fmt.Fprintf(os.Stderr, "damsontrestle: %v\n", err)
		os.Exit(1)
	}
}

// servePlatform runs the platform's node until SIGTERM or SIGINT and until every admitted request is answered. SIGHUP
// reloads the configuration; its handler is installed first because an unhandled SIGHUP ends the process.
func servePlatform() error {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	cfg, start, err := config.LoadPlatform()
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	log := slog.New(slog.NewTextHandler(os.Stderr, nil)).With("node", cfg.Node.Name, "zone", cfg.Node.Zone)
	n, err := node.NewPlatform(cfg, start, log, node.Options{
		SetLimits:    node.SetProcessLimits,
		Listen:       hotrestart.Listen,
		Processes:    joinProcesses(log),
		StartContext: ctx,
	})
	if err != nil {
		if ctx.Err() != nil {
			log.Info("shutdown requested before the node was listening", "error", err)
			return nil // no request was admitted
		}
		return err
	}
	log.Info("serving", "address", n.Addr(config.PlatformListener))
	go func() {
		for range hangups {
			cfg, _, err := config.ReloadPlatform()
			if err != nil {
				log.Error("configuration reload failed; the running configuration stays in place", "error", err)
				continue
			}
			n.Reload(cfg)
		}
	}()
	return n.Run(ctx)
}

// joinProcesses registers this process, for a hot restart, with the node's other process in the folder TMPDIR. It returns nil
// if hot restart is not possible.
func joinProcesses(log *slog.Logger) *hotrestart.Processes {
	folder := os.Getenv("TMPDIR")
	if folder == "" {
		return nil // a folder shared with other nodes could hold their lock files
	}
	processes, err := hotrestart.Join(folder, "node")
	if err != nil {
		log.Warn("joining the node's other process failed; hot restart is disabled", "error", err)
	}
	return processes
}

// exitError is an error with the exit code of the program.
type exitError struct {
	code int
	err  error // nil if there is no message to print
}

func (e exitError) Error() string {
	if e.err == nil {
		return ""
	}
	return e.err.Error()
}

func (e exitError) Unwrap() error { return e.err }

// runCommand runs the subcommand in args and returns the program's exit code.
func runCommand(args []string, in *os.File, out, errs *os.File) int {
	root := newRoot()
	root.SetArgs(doubleDashFlags(args))
	root.SetIn(in)
	root.SetOut(out)
	root.SetErr(errs)
	err := root.Execute()
	if err == nil {
		return 0
	}
	code := 1
	var e exitError
	if errors.As(err, &e) {
		code = e.code
	}
	if text := err.Error(); text != "" {
		fmt.Fprintf(errs, "Error: %s\n", text)
	}
	return code
}

// doubleDashFlags returns args with long flags that have a single dash, such as -out, rewritten to two.
func doubleDashFlags(args []string) []string {
	out := make([]string, len(args))
	for i, arg := range args {
		if arg == "--" {
			copy(out[i:], args[i:])
			break
		}
		if len(arg) > 2 && arg[0] == '-' && arg[1] != '-' && strings.Trim(arg[1:2], "abcdefghijklmnopqrstuvwxyz") == "" {
			arg = "-" + arg
		}
		out[i] = arg
	}
	return out
}
