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

	"github.com/dotterelflow/dotterelflow/internal/command/operatorcli"
	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/measure/loadgen"
	"github.com/dotterelflow/dotterelflow/internal/measure/trace"
)

const (
	exitWrongAnswer = 1
	defaultSeconds  = 30
	maxTraceBytes   = 256 << 20
)

const description = `Example: dotterelflow load --address 127.0.0.1:8001 --key demo-buyer-app --deployment dombud --seed 1 --seconds 30 --rate 20

Sends to loopback addresses only and stops after --seconds. The engines and services must be the
stand-ins, whose answers it can check. Each line of a key file holds a key, followed by the request
kinds that the key may send; without kinds it may send all.

Exit codes: 0 done, even if requests were refused or late; 1 an answer was wrong; 2 wrong use.`

// Command returns the command load.
func Command() *cli.Command {
	return &cli.Command{
		Name:        "load",
		Usage:       "send bounded load to entry hosts on this machine and check each answer",
		Description: description,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "address", Required: true, Usage: "`IP:PORT` of an entry host's caller API; several with commas between"},
			&cli.StringFlag{Name: "key", Usage: "bearer `KEY` of a client account"},
			&cli.StringFlag{Name: "key-file", Usage: "`FILE` with keys and the kinds that they may send"},
			&cli.StringFlag{Name: "trace", Usage: "`FILE` with a trace as JSON"},
			&cli.StringFlag{Name: "deployment", Usage: "generate a trace of the deployment `NAME`: dombud or qafzeh"},
			&cli.Int64Flag{Name: "seed", Value: 1, Usage: "random seed of the generated trace"},
			&cli.IntFlag{Name: "seconds", Value: defaultSeconds, Usage: "duration of sending, in seconds"},
			&cli.FloatFlag{Name: "rate", Usage: "mean requests per second over the whole trace; 0 keeps the arrival times of the trace"},
			&cli.StringFlag{Name: "kinds", Usage: "comma-separated request kinds, for keys without their own; default all"},
			&cli.StringFlag{Name: "model", Usage: "model to send instead of the one in the trace"},
			&cli.StringFlag{Name: "service", Usage: "service to send to instead of the one in the trace"},
			&cli.StringFlag{Name: "format", Value: "text", Usage: "text or json"},
		},
		Action: action,
	}
}

func action(ctx context.Context, cmd *cli.Command) error {
	format := cmd.String("format")
	if format != "text" && format != "json" {
		return operatorcli.UsageError("unknown format %q, want text or json", format)
	}

	opts, err := loadOptions(cmd)
	if err != nil {
		return operatorcli.UsageError("%v", err)
	}

	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()

	r, err := loadgen.Run(ctx, opts)
	if err != nil {
		return operatorcli.UsageError("%v", err)
	}

	if err := write(cmd, format, r); err != nil {
		return err
	}

	if r.All.Wrong > 0 {
		return cli.Exit("some answers were wrong", exitWrongAnswer)
	}

	return nil
}

func write(cmd *cli.Command, format string, r loadgen.Report) error {
	if format == "text" {
		return r.WriteText(cmd.Root().Writer)
	}

	enc := json.NewEncoder(cmd.Root().Writer)
	enc.SetIndent("", "  ")

	return Error.Wrap(enc.Encode(r))
}

func loadOptions(cmd *cli.Command) (loadgen.Options, error) {
	keys, err := readKeys(cmd)
	if err != nil {
		return loadgen.Options{}, err
	}

	t, err := loadTrace(cmd)
	if err != nil {
		return loadgen.Options{}, err
	}

	d, err := trace.Lookup(t.Deployment)
	if err != nil {
		return loadgen.Options{}, err
	}

	return loadgen.Options{
		Addresses: strings.Split(cmd.String("address"), ","), Keys: keys, Kinds: d.Kinds, Arrivals: t.Arrivals,
		Duration: time.Duration(cmd.Int("seconds")) * time.Second, Rate: cmd.Float("rate"),
		Model: entity.Model(cmd.String("model")), Service: entity.ServiceName(cmd.String("service")),
	}, nil
}

// loadTrace reads the trace of --trace, or generates one for --deployment. It fails unless exactly one of the flags is
// given.
func loadTrace(cmd *cli.Command) (*trace.Trace, error) {
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

// readKeys returns the keys of --key or --key-file, exactly one of which must be given. The kinds of --kinds apply to
// keys without kinds of their own.
func readKeys(cmd *cli.Command) ([]loadgen.Key, error) {
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

	var keys []loadgen.Key

	for line := range strings.Lines(text) {
		fields := strings.Fields(line)
		if len(fields) == 0 {
			continue
		}

		if len(fields) == 1 && cmd.String("kinds") != "" {
			fields = append(fields, strings.Split(cmd.String("kinds"), ",")...)
		}

		k := loadgen.Key{Bearer: fields[0]}
		for _, kind := range fields[1:] {
			k.Kinds = append(k.Kinds, entity.KindName(kind))
		}

		keys = append(keys, k)
	}

	return keys, nil
}
