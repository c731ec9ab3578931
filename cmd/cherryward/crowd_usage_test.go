//go:build crowd

package main

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/shoenig/test/must"
)

// usage is the most that a process was seen to use.
type usage struct {
	peakMB, unreadMB, sockets int
}

// observe returns the most that the process uses until stop is closed.
func (n *node) observe(stop <-chan struct{}) (use usage) {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		use.unreadMB = max(use.unreadMB, n.unreadBytes()/1e6)
		use.sockets = max(use.sockets, n.sockets())
		select {
		case <-stop:
			select {
			case <-n.ended:
			default:
				use.peakMB = n.peakMB()
			}
			return use
		case <-ticker.C:
		}
	}
}

// sockets returns the number of open sockets of the process.
func (n *node) sockets() (count int) {
	dir := fmt.Sprintf("/proc/%d/fd", n.cmd.Process.Pid)
	files, err := os.ReadDir(dir)
	if err != nil {
		return 0 // the process has ended
	}
	for _, f := range files {
		target, _ := os.Readlink(filepath.Join(dir, f.Name())) // fails if it was closed meanwhile
		if strings.HasPrefix(target, "socket:") {
			count++
		}
	}
	return count
}

// unreadBytes returns the number of bytes that the kernel holds for the process: those that it has not read, of callers and
// of endpoints, and those that callers have not.
func (n *node) unreadBytes() (bytes int) {
	_, port, err := net.SplitHostPort(n.addr())
	must.NoError(n.t, err)
	number, err := strconv.Atoi(port)
	must.NoError(n.t, err)
	inodes := n.socketInodes()
	file, err := os.Open("/proc/net/tcp")
	must.NoError(n.t, err)
	defer file.Close()
	suffix := fmt.Sprintf(":%04X", number)
	for lines := bufio.NewScanner(file); lines.Scan(); {
		fields := strings.Fields(lines.Text())
		const local, state, queues, inode, listening = 1, 3, 4, 9, "0A"
		if len(fields) <= inode || fields[state] == listening {
			continue
		}
		sent, received, _ := strings.Cut(fields[queues], ":")
		own := strings.HasSuffix(fields[local], suffix)
		if own {
			bytes += n.hexSize(sent)
		}
		if own || inodes[fields[inode]] {
			bytes += n.hexSize(received)
		}
	}
	return bytes
}

func (n *node) hexSize(text string) int {
	size, err := strconv.ParseInt(text, 16, 64)
	must.NoError(n.t, err)
	return int(size)
}

// socketInodes returns the inodes of the process's open sockets.
func (n *node) socketInodes() map[string]bool {
	inodes := make(map[string]bool)
	dir := fmt.Sprintf("/proc/%d/fd", n.cmd.Process.Pid)
	files, _ := os.ReadDir(dir) // fails if the process has ended
	for _, f := range files {
		target, _ := os.Readlink(filepath.Join(dir, f.Name())) // fails if it was closed meanwhile
		if inode, found := strings.CutPrefix(target, "socket:["); found {
			inodes[strings.TrimSuffix(inode, "]")] = true
		}
	}
	return inodes
}
