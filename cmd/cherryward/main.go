// Command cherryward is the daemon: it runs a node that routes requests from callers to endpoints.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/cherryward/cherryward/internal/daemon"
)

func main() {
	os.Exit(run())
}

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return daemon.Run(ctx, os.Args, daemon.Streams{Out: os.Stdout, Err: os.Stderr})
}
