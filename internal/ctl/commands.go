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
	// defaultTimeout covers a write of 10 s and a wait of 20 s at the server.
	defaultTimeout      = 40 * time.Second
	defaultLoadRequests = 1000
	defaultLoadStreams  = 50
	defaultLoadDuration = 30 * time.Second
	// afterNow watches from the present on.
	afterNow = -1
)

// Streams are the tool's input and output.
type Streams struct {
	In       io.Reader
	Out, Err io.Writer
}

// Run runs the tool and returns its exit code. args begins with the tool's name.
func Run(ctx context.Context, args []string, streams Streams) int {
	err := root(streams).Run(ctx, args)
	if err != nil {
		report(streams.Err, err)
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
				Usage: "operators' `URL` of a node; several may be given, a dead one is passed over"},
			&cli.StringFlag{Name: flagToken, Sources: cli.EnvVars("CHERRYCTL_TOKEN"), Usage: "operators' `CREDENTIAL`"},
			&cli.DurationFlag{Name: flagTimeout, Value: defaultTimeout, Usage: "time for one attempt at one server"},
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
		c.OnUsageError = wrongUsage
	}
	return cmd
}

// connected returns a client of the servers that the flags name.
func connected(cmd *cli.Command) (*client, error) {
	urls := cmd.StringSlice(flagServer)
	if len(urls) == 0 {
		return nil, usagef("--server or CHERRYCTL_SERVER: no server given")
	}
	for _, text := range urls {
		u, err := url.Parse(text)
		if err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https" {
			return nil, usagef("--server: %q: want http://IP:PORT or https://IP:PORT", text)
		}
	}
	if cmd.String(flagToken) == "" {
		return nil, usagef("--token or CHERRYCTL_TOKEN: no credential given")
	}
	return newClient(urls, cmd.String(flagToken), cmd.Duration(flagTimeout)), nil
}

// wantArgs checks the number of arguments.
func wantArgs(cmd *cli.Command, least, most int) error {
	if n := cmd.Args().Len(); n < least || n > most {
		return usagef("%s: want arguments %s", cmd.Name, cmd.ArgsUsage)
	}
	return nil
}

func outputFlag() cli.Flag {
	return &cli.StringFlag{Name: flagOutput, Aliases: []string{"o"}, Value: formatTable, Usage: "table or json",
		Validator: func(format string) error {
			if format != formatTable && format != formatJSON {
				return fmt.Errorf("format %q: want %s or %s", format, formatTable, formatJSON)
			}
			return nil
		}}
}

func waitFlag() cli.Flag {
	return &cli.BoolFlag{Name: flagWait, Usage: "return when the change is in force at every live node"}
}

func applyCommand(s Streams) *cli.Command {
	return &cli.Command{
		Name:  "apply",
		Usage: "write the objects of a file: one, a list, or several",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: flagFile, Aliases: []string{"f"}, Required: true, Usage: "`FILE` with JSON, or - for standard input"},
			waitFlag(),
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			objects, err := readFile(cmd.String(flagFile), s.In)
			if err != nil {
				return err
			}
			c, err := connected(cmd)
			if err != nil {
				return err
			}
			w := &writer{client: c, out: s.Out, wait: cmd.Bool(flagWait)}
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
			if err := wantArgs(cmd, 0, 2); err != nil {
				return err
			}
			c, err := connected(cmd)
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
			&cli.Int64Flag{Name: flagBasedOn, Usage: "`REVISION` that the deletion is based on; the present one if not given"},
			waitFlag(),
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			if err := wantArgs(cmd, 2, 2); err != nil {
				return err
			}
			kind, err := config.ParseKind(cmd.Args().Get(0))
			if err != nil {
				return err
			}
			c, err := connected(cmd)
			if err != nil {
				return err
			}
			w := &writer{client: c, out: s.Out, wait: cmd.Bool(flagWait)}
			return w.remove(ctx, kind, cmd.Args().Get(1), cmd.Int64(flagBasedOn))
		},
	}
}
