// Command cherryward is the daemon: it runs a node that routes requests from callers to endpoints.
package main

import (
	"os"

	"github.com/cherryward/cherryward/internal/daemon"
	"github.com/cherryward/cherryward/internal/signals"
)

func main() {
	os.Exit(run())
}

func run() int {
	stop, hangups := signals.Receive()
	return daemon.Run(stop, hangups, os.Args, daemon.Streams{Out: os.Stdout, Err: os.Stderr})
}
