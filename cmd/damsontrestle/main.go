// Command damsontrestle is one load-balancing node on real sockets, told all by BALANCER_CONFIG.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"woodpick/internal/config"
	"woodpick/internal/node"
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintf(os.Stderr, "damsontrestle: %v\n", err)
		os.Exit(1)
	}
}

// run serves until SIGTERM or SIGINT and the end of what was taken. SIGHUP, which ends a program that
// does not catch it, is caught before anything else: it has the configuration read again.
func run() error {
	again := make(chan os.Signal, 1)
	signal.Notify(again, syscall.SIGHUP)
	cfg, start, err := config.LoadPlatform()
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	log := slog.New(slog.NewTextHandler(os.Stderr, nil)).With("node", cfg.Node.Name, "zone", cfg.Node.Zone)
	n, err := node.NewPlatform(cfg, start, log, node.Options{Limit: node.Limit})
	if err != nil {
		return err
	}
	log.Info("serving", "address", n.Addr(config.PlatformListener))
	go func() {
		for range again {
			if cfg, _, err := config.LoadPlatform(); err != nil {
				log.Error("the new configuration is bad; the old one stays", "error", err)
			} else {
				n.Reload(cfg)
			}
		}
	}()
	return n.Run(ctx)
}
