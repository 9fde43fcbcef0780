// Command damsontrestle is one load-balancing node on real sockets. With no arguments it is the node that the
// platform starts, told all by BALANCER_CONFIG; its commands run a node by a file of our own and change it.
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
		os.Exit(command(os.Args[1:], os.Stdin, os.Stdout, os.Stderr))
	}
	if err := platform(); err != nil {
		fmt.Fprintf(os.Stderr, "damsontrestle: %v\n", err)
		os.Exit(1)
	}
}

// platform serves until SIGTERM or SIGINT and the end of what was taken. SIGHUP, which ends a program that
// does not catch it, is caught before anything else: it has the configuration read again.
func platform() error {
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
		Processes:    enter(log),
		StartContext: ctx,
	})
	if err != nil {
		if ctx.Err() != nil {
			log.Info("told to end before it listened", "error", err)
			return nil // nothing was taken
		}
		return err
	}
	log.Info("serving", "address", n.Addr(config.PlatformListener))
	go func() {
		for range hangups {
			cfg, _, err := config.ReloadPlatform()
			if err != nil {
				log.Error("the new configuration is bad; the old one stays", "error", err)
				continue
			}
			n.Reload(cfg)
		}
	}()
	return n.Run(ctx)
}

// enter joins the processes of the node that the platform has in its folder while one takes over from another.
func enter(log *slog.Logger) *hotrestart.Processes {
	folder := os.Getenv("TMPDIR")
	if folder == "" {
		return nil // what is not the node's own could hold another's files
	}
	processes, err := hotrestart.Join(folder, "node")
	if err != nil {
		log.Warn("this process knows of no other of its node", "error", err)
	}
	return processes
}

// exit is an error with the code that the program ends with.
type exit struct {
	code int
	err  error // nil: the code alone says it
}

func (e exit) Error() string {
	if e.err == nil {
		return ""
	}
	return e.err.Error()
}

func (e exit) Unwrap() error { return e.err }

// command runs one of the commands and returns the program's exit code.
func command(args []string, in *os.File, out, errs *os.File) int {
	root := newRoot()
	root.SetArgs(longFlags(args))
	root.SetIn(in)
	root.SetOut(out)
	root.SetErr(errs)
	err := root.Execute()
	if err == nil {
		return 0
	}
	code := 1
	var e exit
	if errors.As(err, &e) {
		code = e.code
	}
	if text := err.Error(); text != "" {
		fmt.Fprintf(errs, "Error: %s\n", text)
	}
	return code
}

// longFlags lets flags stand with one dash, as in -out, as well as with two.
func longFlags(args []string) []string {
	out := make([]string, len(args))
	for i, a := range args {
		if a == "--" {
			copy(out[i:], args[i:])
			break
		}
		if len(a) > 2 && a[0] == '-' && a[1] != '-' && strings.Trim(a[1:2], "abcdefghijklmnopqrstuvwxyz") == "" {
			a = "-" + a
		}
		out[i] = a
	}
	return out
}
