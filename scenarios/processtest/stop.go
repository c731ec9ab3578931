// Package processtest helps tests that run nodes as processes.
package processtest

import (
	"cmp"
	"errors"
	"os"

	"golang.org/x/sys/unix"
)

// BuildVariable names the environment variable with the path of another build's program.
const BuildVariable = "CHERRYWARD_OTHER_BUILD"

// Program returns the program that a node runs: "cherryward" of the build under test, or the
// other build's, which is the same one where BuildVariable is not set.
func Program(other bool) string {
	const own = "cherryward"
	if !other {
		return own
	}
	return cmp.Or(os.Getenv(BuildVariable), own)
}

// AwaitStop waits until all threads of a child are stopped: SIGSTOP is sent at once, but a
// process runs on until they are scheduled and take it. It leaves the child's state to be read
// again by those who wait for its end.
func AwaitStop(pid int) error {
	for {
		err := unix.Waitid(unix.P_PID, pid, nil, unix.WSTOPPED|unix.WNOWAIT, nil)
		if !errors.Is(err, unix.EINTR) {
			return err
		}
	}
}
