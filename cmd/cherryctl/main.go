// Command cherryctl is the operators' command-line tool: it writes and reads the
// configuration, shows the system's state and explains result codes.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/cherryward/cherryward/internal/ctl"
)

func main() {
	os.Exit(run())
}

func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return ctl.Run(ctx, os.Args, ctl.Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr})
}
