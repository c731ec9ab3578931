// Package tcp opens connections that notice when their peer went silent.
//
// A connection may go silent for good without a reset, while new ones to the same peer work.
// Bytes that stay unacknowledged break it within UserTimeout; one on which nothing is sent, as
// while an answer is awaited, is probed after a second and breaks a second later. What was
// sent on it may have arrived: that it is not sent twice is up to the caller.
package tcp

import (
	"errors"
	"net"
	"syscall"
	"time"
)

const (
	// UserTimeout is how long sent bytes may stay unacknowledged. Peers are some ms away, so
	// that three retransmissions fit in.
	UserTimeout = time.Second
	// probeIdle, probeInterval and probeCount are when a silent connection is probed. Whole
	// seconds are the finest unit.
	probeIdle     = time.Second
	probeInterval = time.Second
	probeCount    = 1
	// optionUserTimeout is TCP_USER_TIMEOUT of Linux, which the syscall package of the
	// standard library doesn't name.
	optionUserTimeout = 18
)

// Dialer returns a dialer whose connections notice a silent peer. timeout bounds the time to
// connect.
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
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, optionUserTimeout, int(UserTimeout.Milliseconds()))
	})
	return errors.Join(err, failed)
}
