// Package processtest helps tests that run nodes as processes.
package processtest

import (
	"errors"

	"golang.org/x/sys/unix"
)

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
