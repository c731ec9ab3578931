package processtest

import (
	"fmt"
	"os"
	"regexp"
	"strconv"
)

var peakField = regexp.MustCompile(`VmHWM:\s+(\d+) kB`)

// PeakMB returns the largest amount of memory that a process had in use, in MB. running is false if it has ended.
func PeakMB(pid int) (mb int, running bool) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, false
	}
	found := peakField.FindSubmatch(status)
	if found == nil {
		return 0, false // it has ended and was not waited for
	}
	kb, err := strconv.Atoi(string(found[1]))
	return kb / 1000, err == nil
}
