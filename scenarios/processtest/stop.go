// Package processtest contains helpers for tests that run nodes as processes.
package processtest

import (
	"cmp"
	"errors"
	"os"

	"golang.org/x/sys/unix"
)

// BuildVariable is the environment variable that holds the path of another build's executable.
const BuildVariable = "CHERRYWARD_OTHER_BUILD"

// Program returns the executable of a node: that of the other build if other is true and
// BuildVariable is set, and "cherryward", the build under test, otherwise.
func Program(other bool) string {
	const own = "cherryward"
	if !other {
		return own
	}
	return cmp.Or(os.Getenv(BuildVariable), own)
}

// AwaitStop waits until all threads of a child process are stopped. After SIGSTOP was sent, threads
// continue to run until they are scheduled and handle it. The child's wait status is not consumed,
// so its exit can still be awaited.
func AwaitStop(pid int) error {
	for {
		err := unix.Waitid(unix.P_PID, pid, nil, unix.WSTOPPED|unix.WNOWAIT, nil)
		if !errors.Is(err, unix.EINTR) {
			return err
		}
	}
}
