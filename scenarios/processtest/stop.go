// Package processtest contains helpers for tests that run nodes as processes.
package processtest

import (
	"cmp"
	"errors"
	"fmt"
	"os"
	"regexp"

	"golang.org/x/sys/unix"
)

// BuildVariable is the environment variable that holds the path of another build's executable.
const BuildVariable = "CHERRYWARD_OTHER_BUILD"

var callersField = regexp.MustCompile(`callers=(\S+).*event=start`)

// CallersAddr returns the address at which a node in gateway mode listens for callers, if line is the one in which its
// log states it.
func CallersAddr(line string) (addr string, ok bool) {
	found := callersField.FindStringSubmatch(line)
	if found == nil {
		return "", false
	}
	return found[1], true
}

// Program returns the program of a build: "own" is the build under test, "other" the one that
// BuildVariable names, or the build under test if BuildVariable is not set.
func Program(build string) (string, error) {
	const own = "cherryward"
	switch build {
	case "own":
		return own, nil
	case "other":
		return cmp.Or(os.Getenv(BuildVariable), own), nil
	}
	return "", fmt.Errorf("unknown build %q: want own or other", build)
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
