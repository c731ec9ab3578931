// Package tcp opens TCP connections that fail soon after their peer becomes unresponsive.
//
// A connection may stop delivering packets permanently without a reset, while new connections
// to the same peer work. A connection fails if sent bytes stay unacknowledged for UserTimeout.
// A connection without unacknowledged bytes, such as one that waits for a response, is probed
// after a second of silence and fails if nothing arrives within UserTimeout of the last packet: the
// option also decides when probes are given up, whatever their count. A peer may be silent for a second
// or so without having failed. Data
// sent on a failed connection may have been delivered: callers must prevent duplicate
// processing when they send it again.
package tcp

import (
	"errors"
	"net"
	"syscall"
	"time"
)

const (
	// UserTimeout is how long sent bytes may stay unacknowledged before the connection
	// fails, and how long a peer may be silent.
	UserTimeout = 2 * time.Second
	// probeIdle, probeInterval and probeCount configure the keep-alive probes. The
	// operating system accepts whole seconds only.
	probeIdle     = time.Second
	probeInterval = time.Second
	probeCount    = 2
	// optionUserTimeout is the Linux socket option TCP_USER_TIMEOUT, which the standard
	// library's syscall package doesn't define.
	optionUserTimeout = 18
)

// Dialer returns a dialer whose connections detect an unresponsive peer. timeout is the
// maximum time to establish a connection.
func Dialer(timeout time.Duration) net.Dialer {
	return net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     probeIdle,
			Interval: probeInterval,
			Count:    probeCount,
		},
		Control: setUserTimeout,
	}
}

func setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var optionErr error
	err := raw.Control(func(fd uintptr) {
		optionErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, optionUserTimeout, int(UserTimeout.Milliseconds()))
	})
	return errors.Join(err, optionErr)
}
