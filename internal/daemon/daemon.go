// Package daemon implements the command line of the cherryward binary.
package daemon

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/rs/zerolog"
	"github.com/urfave/cli/v3"

	"github.com/cherryward/cherryward/internal/demo"
	"github.com/cherryward/cherryward/internal/gatewaydemo"
	"github.com/cherryward/cherryward/internal/node"
	"github.com/cherryward/cherryward/internal/settings"
	"github.com/cherryward/cherryward/internal/signals"
	"github.com/cherryward/cherryward/platform"
)

// Exit codes.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2 // bad arguments or settings
)

// streams holds the writers for the command's output.
type streams struct {
	out, err io.Writer
}

// command holds the state and flags that the subcommands share.
type command struct {
	streams    streams
	hangups    <-chan os.Signal // the SIGHUP signals of the process
	settings   string
	boot       string
	serve      bool
	platform   bool // run the demo in gateway mode, on a simulated platform
	argsParsed bool // argument parsing succeeded and an action started
}

// usageError is an error in the arguments or settings; the command exits with exitUsage.
type usageError struct{ cause error }

// Error implements error.
func (e *usageError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *usageError) Unwrap() error { return e.cause }

// Main parses and executes the command line of this process and returns its exit code. It receives the process's
// signals, so it is called once, as early as possible.
func Main(args []string) int {
	stop, hangups := signals.Receive()
	c := &command{streams: streams{out: os.Stdout, err: os.Stderr}, hangups: hangups}
	err := c.root().Run(stop, args)
	if err == nil {
		return exitOK
	}
	fmt.Fprintln(c.streams.err, "cherryward:", err)
	var usage *usageError
	if errors.As(err, &usage) || !c.argsParsed {
		return exitUsage
	}
	return exitFailed
}

func (c *command) root() *cli.Command {
	file := &cli.StringFlag{Name: "settings", Usage: "settings `FILE` of the node", Destination: &c.settings}
	boot := &cli.StringFlag{Name: "boot", Usage: "boot `FILE` of a node in gateway mode, ignored if --settings is given",
		Sources: cli.EnvVars(platform.BootEnv), Destination: &c.boot}
	serve := &cli.BoolFlag{Name: "serve", Usage: "keep running after the demo conversations", Destination: &c.serve}
	platformFlag := &cli.BoolFlag{Name: "platform", Usage: "run the nodes in gateway mode, on a simulated platform", Destination: &c.platform}
	return &cli.Command{
		Name:           "cherryward",
		Usage:          "serves language model prompts whose answers take minutes to days",
		Writer:         c.streams.out,
		ErrWriter:      c.streams.err,
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		OnUsageError:   func(_ context.Context, _ *cli.Command, err error, _ bool) error { return &usageError{err} },
		Commands: []*cli.Command{
			{Name: "run", Usage: "run a node", Flags: []cli.Flag{file, boot}, Action: c.run},
			{Name: "check", Usage: "check a settings or boot file", Flags: []cli.Flag{file, boot}, Action: c.check},
			{Name: "demo", Usage: "run a small system on loopback and send it example conversations", Flags: []cli.Flag{serve, platformFlag}, Action: c.demo},
		},
	}
}

var errNoConfigFile = errors.New("one of --settings and --boot is required")

// useBootFile reports whether the node runs in gateway mode, configured by a boot file.
// --settings takes precedence over --boot.
func (c *command) useBootFile() bool { return c.settings == "" && c.boot != "" }

func (c *command) load() (*settings.Settings, error) {
	if c.settings == "" {
		return nil, &usageError{errNoConfigFile}
	}
	c.argsParsed = true
	s, err := settings.Load(c.settings)
	if err != nil {
		return nil, &usageError{err}
	}
	return s, nil
}

func (c *command) run(ctx context.Context, _ *cli.Command) error {
	signals.IgnoreBrokenPipes() // requests go on without a reader of the log
	if c.useBootFile() {
		return c.runGateway(ctx)
	}
	s, err := c.load()
	if err != nil {
		return err
	}
	log := c.logger(s.Logging.Level)
	n, err := node.New(s, log)
	if err != nil {
		return err
	}
	log.Info().Str("event", "listening").
		Stringer("callers", n.CallersAddr()).
		Stringer("operators", n.OperatorsAddr()).
		Str("peers", n.PeersAddr()).Send()
	go c.logHangups(log)
	err = n.Run(ctx)
	log.Info().Str("event", "stopped").AnErr("error", err).Send()
	return err
}

// logHangups logs each SIGHUP until the process ends. Outside of gateway mode a node reads its settings only when
// it starts.
func (c *command) logHangups(log zerolog.Logger) {
	for range c.hangups {
		log.Info().Str("event", "hangup").Bool("ignored", true).Send()
	}
}

func (c *command) check(context.Context, *cli.Command) error {
	file := c.settings
	var err error
	if c.useBootFile() {
		file = c.boot
		_, err = c.loadBoot()
	} else {
		_, err = c.load()
	}
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(c.streams.out, file+": ok")
	return err
}

func (c *command) demo(ctx context.Context, _ *cli.Command) error {
	c.argsParsed = true
	if c.platform {
		return gatewaydemo.Run(ctx, c.streams.out, c.logger("error"), c.serve)
	}
	return demo.Run(ctx, c.streams.out, c.logger("error"), c.serve)
}

// logger returns a logger that writes each event as a line of key=value pairs. An
// unknown level falls back to info; the settings accept only known levels.
func (c *command) logger(level string) zerolog.Logger {
	l, err := zerolog.ParseLevel(level)
	if err != nil {
		l = zerolog.InfoLevel
	}
	return zerolog.New(keyValues(c.streams.err)).Level(l).With().Timestamp().Logger()
}

// keyValues returns a writer that formats events as lines of key=value pairs.
func keyValues(out io.Writer) zerolog.ConsoleWriter {
	return zerolog.ConsoleWriter{
		Out:          out,
		NoColor:      true,
		TimeFormat:   "2006-01-02T15:04:05.000Z07:00",
		FormatLevel:  func(v any) string { return fmt.Sprintf("level=%v", v) },
		PartsExclude: []string{zerolog.MessageFieldName},
		FormatTimestamp: func(v any) string {
			return fmt.Sprintf("time=%v", v)
		},
	}
}
