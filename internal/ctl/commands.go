package ctl

import (
	"context"
	"fmt"
	"io"
	"net/url"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	pb "github.com/cherryward/cherryward/api/gen/cherryward/v1"
	"github.com/cherryward/cherryward/internal/config"
	"github.com/cherryward/cherryward/internal/result"
)

// Flag names.
const (
	flagServer      = "server"
	flagToken       = "token"
	flagTimeout     = "timeout"
	flagOutput      = "output"
	flagFile        = "file"
	flagWait        = "wait"
	flagBasedOn     = "based-on"
	flagAfter       = "after"
	flagMarkdown    = "markdown"
	flagURL         = "url"
	flagKey         = "key"
	flagModel       = "model"
	flagRequests    = "requests"
	flagConcurrency = "concurrency"
	flagDuration    = "duration"
)

const (
	// defaultTimeout exceeds the server's timeouts of 10 s for a write and 20 s for the
	// wait after it.
	defaultTimeout      = 40 * time.Second
	defaultLoadRequests = 1000
	defaultLoadStreams  = 50
	defaultLoadDuration = 30 * time.Second
	// afterCurrent starts a watch after the current revision.
	afterCurrent = -1
)

// Streams holds the tool's input and outputs.
type Streams struct {
	In       io.Reader
	Out, Err io.Writer
}

// Run runs the tool and returns its exit code. args[0] is the tool's name.
func Run(ctx context.Context, args []string, streams Streams) int {
	err := root(streams).Run(ctx, args)
	if err != nil {
		printError(streams.Err, err)
	}
	return exitCode(err)
}

func root(s Streams) *cli.Command {
	cmd := &cli.Command{
		Name:      "cherryctl",
		Usage:     "operate a cherryward deployment",
		Reader:    s.In,
		Writer:    s.Out,
		ErrWriter: s.Err,
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: flagServer, Aliases: []string{"s"}, Sources: cli.EnvVars("CHERRYCTL_SERVER"),
				Usage: "`URL` of a node's operator listener; may be repeated, the next one is tried if a node is unavailable"},
			&cli.StringFlag{Name: flagToken, Sources: cli.EnvVars("CHERRYCTL_TOKEN"), Usage: "operators' `CREDENTIAL`"},
			&cli.DurationFlag{Name: flagTimeout, Value: defaultTimeout, Usage: "timeout of each attempt at one server"},
		},
		Commands: []*cli.Command{
			applyCommand(s), getCommand(s), deleteCommand(s), watchCommand(s), statusCommand(s),
			explainCommand(s), explainRequestCommand(s), loadCommand(s), codesCommand(s), capacityCommand(s),
			experimentCommand(s), quarantineCommand(s), domainsCommand(s), endpointsCommand(s),
		},
		Action: func(_ context.Context, cmd *cli.Command) error {
			if name := cmd.Args().First(); name != "" {
				return usagef("unknown command %q", name)
			}
			return cli.ShowAppHelp(cmd)
		},
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
	}
	for _, c := range append(cmd.Commands, cmd) {
		c.OnUsageError = asUsageError
	}
	return cmd
}

// clientFromFlags returns a client of the servers in the flags.
func clientFromFlags(cmd *cli.Command) (*client, error) {
	urls := cmd.StringSlice(flagServer)
	if len(urls) == 0 {
		return nil, usagef("--server or CHERRYCTL_SERVER: no server given")
	}
	for _, text := range urls {
		u, err := url.Parse(text)
		if err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https" {
			return nil, usagef("--server: %q: must be http://IP:PORT or https://IP:PORT", text)
		}
	}
	if cmd.String(flagToken) == "" {
		return nil, usagef("--token or CHERRYCTL_TOKEN: no credential given")
	}
	return newClient(urls, cmd.String(flagToken), cmd.Duration(flagTimeout)), nil
}

// checkArgs checks the number of arguments.
func checkArgs(cmd *cli.Command, minArgs, maxArgs int) error {
	if n := cmd.Args().Len(); n < minArgs || n > maxArgs {
		return usagef("%s: want arguments %s", cmd.Name, cmd.ArgsUsage)
	}
	return nil
}

func outputFlag() cli.Flag {
	return &cli.StringFlag{Name: flagOutput, Aliases: []string{"o"}, Value: formatTable, Usage: "output `FORMAT`: table or json",
		Validator: func(format string) error {
			if format != formatTable && format != formatJSON {
				return fmt.Errorf("format %q: must be %s or %s", format, formatTable, formatJSON)
			}
			return nil
		}}
}

func waitFlag() cli.Flag {
	return &cli.BoolFlag{Name: flagWait, Usage: "wait until every live node has applied the change"}
}

func applyCommand(s Streams) *cli.Command {
	return &cli.Command{
		Name:  "apply",
		Usage: "create or update the objects in a file: one object, a list, or a sequence",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: flagFile, Aliases: []string{"f"}, Required: true, Usage: "`FILE` with JSON objects, or - for standard input"},
			waitFlag(),
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			objects, err := readFile(cmd.String(flagFile), s.In)
			if err != nil {
				return err
			}
			c, err := clientFromFlags(cmd)
			if err != nil {
				return err
			}
			w := &objectWriter{client: c, out: s.Out, wait: cmd.Bool(flagWait)}
			return w.applyAll(ctx, objects)
		},
	}
}

func readFile(path string, in io.Reader) ([]parsedObject, error) {
	if path == "-" {
		return readObjects(in)
	}
	file, err := os.Open(path)
	if err != nil {
		return nil, &usageError{err}
	}
	defer file.Close()
	return readObjects(file)
}

func getCommand(s Streams) *cli.Command {
	return &cli.Command{
		Name:      "get",
		Usage:     "show objects",
		ArgsUsage: "[KIND [NAME]]",
		Flags:     []cli.Flag{outputFlag()},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			if err := checkArgs(cmd, 0, 2); err != nil {
				return err
			}
			c, err := clientFromFlags(cmd)
			if err != nil {
				return err
			}
			objects, err := getObjects(ctx, c, cmd.Args().Get(0), cmd.Args().Get(1))
			if err != nil {
				return err
			}
			return showObjects(s.Out, objects, cmd.String(flagOutput))
		},
	}
}

func getObjects(ctx context.Context, c *client, kind, name string) ([]*pb.Object, error) {
	if name == "" {
		res, err := c.list(ctx, kind)
		return res.GetObjects(), err
	}
	o, err := c.get(ctx, kind, name)
	if err == nil && o == nil {
		err = result.New(result.UnknownObject, result.WithField("name"), result.WithMessage("no %s %q is configured", kind, name))
	}
	return []*pb.Object{o}, err
}

func deleteCommand(s Streams) *cli.Command {
	return &cli.Command{
		Name:      "delete",
		Usage:     "delete an object",
		ArgsUsage: "KIND NAME",
		Flags: []cli.Flag{
			&cli.Int64Flag{Name: flagBasedOn, Usage: "`REVISION` of the object that the deletion is based on (default: the current one)"},
			waitFlag(),
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			if err := checkArgs(cmd, 2, 2); err != nil {
				return err
			}
			kind, err := config.ParseKind(cmd.Args().Get(0))
			if err != nil {
				return err
			}
			c, err := clientFromFlags(cmd)
			if err != nil {
				return err
			}
			w := &objectWriter{client: c, out: s.Out, wait: cmd.Bool(flagWait)}
			return w.remove(ctx, kind, cmd.Args().Get(1), cmd.Int64(flagBasedOn))
		},
	}
}
