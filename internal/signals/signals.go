// Package signals receives the operating system's signals on behalf of a process.
//
// Guarantee: from Receive until the process has ended, neither SIGTERM, SIGINT nor SIGHUP has its default
// action, which ends the process together with the requests in progress. What a signal causes is decided by
// the receivers of the returned values; a signal that nobody waits for has no effect.
package signals

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// Receive starts to receive the signals of the process. It is called once, as early as possible, and has no
// counterpart that stops it: a signal may arrive until the process has ended.
//
// stop is done when the process is first told to stop, by SIGTERM or SIGINT; further ones have no effect.
// hangups receives a value for each SIGHUP. One that arrives before the value of an earlier one was received
// adds none, so that a receiver that starts late still learns that there was one.
func Receive() (stop context.Context, hangups <-chan os.Signal) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	stop, _ = signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	return stop, hup
}

// IgnoreBrokenPipes makes a write to a closed pipe fail with an error, also on standard output and standard
// error, where it would otherwise end the process.
func IgnoreBrokenPipes() { signal.Ignore(syscall.SIGPIPE) }
