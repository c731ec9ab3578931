// Command cherryward is the daemon: it runs a node that routes requests from callers to endpoints.
package main

import (
	"os"

	"github.com/cherryward/cherryward/internal/daemon"
)

func main() {
	os.Exit(daemon.Main(os.Args))
}
