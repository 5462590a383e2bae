package load

import (
	"context"
	"encoding/json"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/dotterelflow/dotterelflow/internal/command/remote"
	"github.com/dotterelflow/dotterelflow/internal/control/table"
	"github.com/dotterelflow/dotterelflow/internal/measure/load"
	"github.com/dotterelflow/dotterelflow/internal/measure/trace"
)

const (
	exitWrong      = 1
	defaultSeconds = 30
	maxTraceBytes  = 256 << 20
)

const description = `Example: dotterelflow load --address 127.0.0.1:8001 --key demo-buyer-app --deployment dombud --seed 1 --seconds 30 --rate 20

It sends to loopback only, to stand-in engines and services, whose answers it can check, and stops
by itself. A key file has a key on each line, then the kinds that it may send, if not all.

Exit codes: 0 done, whatever was refused or late; 1 an answer was wrong; 2 wrong use.`

// Command returns the command load.
func Command() *cli.Command {
	return &cli.Command{
		Name:        "load",
		Usage:       "send bounded load to entry hosts on this machine and check each answer",
		Description: description,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "address", Required: true, Usage: "`IP:PORT` of an entry host's caller API; several with commas"},
			&cli.StringFlag{Name: "key", Usage: "bearer `KEY` of a client account"},
			&cli.StringFlag{Name: "key-file", Usage: "`FILE` with keys"},
			&cli.StringFlag{Name: "trace", Usage: "`FILE` with a trace as JSON"},
			&cli.StringFlag{Name: "deployment", Usage: "make the trace of the `NAME` dombud or qafzeh"},
			&cli.Int64Flag{Name: "seed", Value: 1, Usage: "of the trace"},
			&cli.IntFlag{Name: "seconds", Value: defaultSeconds, Usage: "of sending"},
			&cli.FloatFlag{Name: "rate", Usage: "mean requests a second over the whole trace; none keeps the trace's times"},
			&cli.StringFlag{Name: "kinds", Usage: "send only these request kinds, with commas between"},
			&cli.StringFlag{Name: "model", Usage: "in place of the trace's model"},
			&cli.StringFlag{Name: "service", Usage: "in place of the trace's service"},
			&cli.StringFlag{Name: "format", Value: "text", Usage: "text or json"},
		},
		Action: action,
	}
}

func action(ctx context.Context, cmd *cli.Command) error {
	format := cmd.String("format")
	if format != "text" && format != "json" {
		return remote.Usage("unknown format %q, want text or json", format)
	}

	opts, err := options(cmd)
	if err != nil {
		return remote.Usage("%v", err)
	}

	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()

	r, err := load.Run(ctx, opts)
	if err != nil {
		return remote.Usage("%v", err)
	}

	if err := write(cmd, format, r); err != nil {
		return err
	}

	if r.All.Wrong > 0 {
		return cli.Exit("some answers were wrong", exitWrong)
	}

	return nil
}

func write(cmd *cli.Command, format string, r load.Report) error {
	if format == "text" {
		return r.Text(cmd.Root().Writer)
	}

	enc := json.NewEncoder(cmd.Root().Writer)
	enc.SetIndent("", "  ")

	return Error.Wrap(enc.Encode(r))
}

func options(cmd *cli.Command) (load.Options, error) {
	keys, err := keysOf(cmd)
	if err != nil {
		return load.Options{}, err
	}

	t, err := traceOf(cmd)
	if err != nil {
		return load.Options{}, err
	}

	d, err := trace.Lookup(t.Deployment)
	if err != nil {
		return load.Options{}, err
	}

	return load.Options{
		Addresses: strings.Split(cmd.String("address"), ","), Keys: keys, Kinds: d.Kinds, Arrivals: t.Arrivals,
		Duration: time.Duration(cmd.Int("seconds")) * time.Second, Rate: cmd.Float("rate"),
		Model: table.Model(cmd.String("model")), Service: table.ServiceName(cmd.String("service")),
	}, nil
}

func traceOf(cmd *cli.Command) (*trace.Trace, error) {
	path, name := cmd.String("trace"), cmd.String("deployment")

	if (path == "") == (name == "") {
		return nil, Error.New("give either --trace or --deployment")
	}

	if name != "" {
		d, err := trace.Lookup(name)
		if err != nil {
			return nil, err
		}

		return trace.Generate(d, cmd.Int64("seed")), nil
	}

	info, err := os.Stat(path)
	if err != nil {
		return nil, Error.Wrap(err)
	}

	if info.Size() > maxTraceBytes {
		return nil, Error.New("%s has %d bytes, at most %d are read", path, info.Size(), maxTraceBytes)
	}

	data, err := os.ReadFile(path)
	if err != nil {
		return nil, Error.Wrap(err)
	}

	var t trace.Trace

	return &t, Error.Wrap(json.Unmarshal(data, &t))
}

// keysOf reads the keys. Kinds that the user names hold for each key that names none itself.
func keysOf(cmd *cli.Command) ([]load.Key, error) {
	key, path := cmd.String("key"), cmd.String("key-file")

	if (key == "") == (path == "") {
		return nil, Error.New("give either --key or --key-file")
	}

	text := key

	if path != "" {
		data, err := os.ReadFile(path)
		if err != nil {
			return nil, Error.Wrap(err)
		}

		text = string(data)
	}

	var keys []load.Key

	for line := range strings.Lines(text) {
		words := strings.Fields(line)
		if len(words) == 0 {
			continue
		}

		if len(words) == 1 && cmd.String("kinds") != "" {
			words = append(words, strings.Split(cmd.String("kinds"), ",")...)
		}

		k := load.Key{Bearer: words[0]}
		for _, kind := range words[1:] {
			k.Kinds = append(k.Kinds, table.KindName(kind))
		}

		keys = append(keys, k)
	}

	return keys, nil
}
