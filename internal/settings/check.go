package settings

import (
	_ "embed"
	"fmt"
	"net"
	"strings"

	"github.com/cherryward/cherryward/internal/result"
)

//go:embed schema.json
var schemaJSON []byte

// Schema returns the JSON schema of the settings file, from which its documentation is
// generated.
func Schema() []byte { return schemaJSON }

// Problem is one error in a settings or experiment file.
type Problem struct {
	Code    result.Code // SettingUnknown to SettingInvalid, or ExperimentClash
	Path    string      // JSON pointer to the field
	Message string
}

// String returns a line with the code's number and name, the path and the message.
func (p Problem) String() string {
	return fmt.Sprintf("%d %s (%s): %s", int(p.Code), p.Code, p.Path, p.Message)
}

// Problems is a non-empty list of errors in a file.
type Problems []Problem

// Error implements error. The text has one line for each problem.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i, problem := range p {
		lines[i] = problem.String()
	}
	return strings.Join(lines, "\n")
}

var checker = NewChecker("settings.json", schemaJSON)

// checkValues checks the rules that the schema can't express.
func checkValues(s *Settings) Problems {
	listeners := []struct{ path, address string }{
		{"/callers/address", s.Callers.Address},
		{"/operators/address", s.Operators.Address},
		{"/peers/address", s.Peers.Address},
	}
	var problems Problems
	for i, l := range listeners {
		host, _, err := net.SplitHostPort(l.address)
		if err != nil || net.ParseIP(host) == nil {
			problems = append(problems, Problem{result.SettingInvalid, l.path, fmt.Sprintf("%q is not an IP address and port", l.address)})
		}
		for _, other := range listeners[:i] {
			if addressesConflict(l.address, other.address) {
				problems = append(problems, Problem{result.SettingConflict, l.path, fmt.Sprintf("%s is also the address of %s", l.address, other.path)})
			}
		}
	}
	if p, ok := checkAdvertised(s.Peers); !ok {
		problems = append(problems, p)
	}
	if s.Requests.DefaultTimeout > s.Requests.MaxTimeout {
		problems = append(problems, Problem{result.SettingInvalid, "/requests/default_timeout", "is longer than /requests/max_timeout"})
	}
	return problems
}

// checkAdvertised checks that the advertised address, or else the listener's, is one that
// other nodes can connect to.
func checkAdvertised(p Peers) (Problem, bool) {
	address := p.Advertise
	if address == "" {
		address = p.Address
	}
	host, _, err := net.SplitHostPort(address)
	if err == nil && net.ParseIP(host) != nil && !isUnspecified(host) {
		return Problem{}, true
	}
	return Problem{result.SettingInvalid, "/peers/advertise", fmt.Sprintf("%q is not an IP address and port that other nodes can connect to", address)}, false
}

// addressesConflict reports whether two addresses can't be listened on at the same time.
// Port 0 selects a free port, so it never conflicts.
func addressesConflict(a, b string) bool {
	hostA, portA, errA := net.SplitHostPort(a)
	hostB, portB, errB := net.SplitHostPort(b)
	if errA != nil || errB != nil || portA != portB || portA == "0" {
		return false
	}
	return hostA == hostB || isUnspecified(hostA) || isUnspecified(hostB)
}

func isUnspecified(host string) bool {
	ip := net.ParseIP(host)
	return ip != nil && ip.IsUnspecified()
}
