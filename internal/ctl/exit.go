package ctl

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"

	"github.com/urfave/cli/v3"

	"github.com/cherryward/cherryward/internal/result"
)

// Exit codes.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// usageError reports input that is not valid: flags, arguments or a file.
type usageError struct{ err error }

var _ error = (*usageError)(nil)

// Error implements error.
func (e *usageError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e *usageError) Unwrap() error { return e.err }

func usagef(format string, args ...any) error {
	return &usageError{fmt.Errorf(format, args...)}
}

// asUsageError converts the parse error of a command line to a usageError.
func asUsageError(_ context.Context, _ *cli.Command, err error, _ bool) error {
	return &usageError{err}
}

// inputCodes lists the results that are caused by the input.
var inputCodes = []result.Code{result.InvalidObject, result.MalformedBody, result.BodyTooLarge, result.UnknownField}

// exitCode returns the exit code for an error.
func exitCode(err error) int {
	var usage *usageError
	var coded *result.Error
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &usage):
		return exitUsage
	case errors.As(err, &coded) && slices.Contains(inputCodes, coded.Code):
		return exitUsage
	}
	return exitFailed
}

// printError writes an error and, if it has a result code, the action for it.
func printError(w io.Writer, err error) {
	fmt.Fprintf(w, "cherryctl: %v\n", err)
	var coded *result.Error
	if errors.As(err, &coded) {
		fmt.Fprintf(w, "  %s\n", coded.Code.Info().Action)
	}
}
