package experiment

import (
	"context"
	"encoding/json"
	"io"

	"github.com/urfave/cli/v3"
	"github.com/zeebo/errs"

	"github.com/dotterelflow/dotterelflow/internal/measure/experiment"
)

// Error is the class of this package's errors.
var Error = errs.Class("experiment")

const rolesHelp = `Runs traces of a deployment on virtual time through the decision code of the entry hosts, under
each policy of role changes, and prints goodput, lost patient work, role changes, the engine time lost
to them, latencies, and which goals were met. The same arguments always give the same figures.

Example:
   dotterelflow experiment roles --deployment dombud --seeds 5 --plot roles.svg`

// Command returns the command experiment, which reads sheets through the given functions. It writes to
// the Writer of the root command.
func Command(sheets Sheets) *cli.Command {
	return &cli.Command{
		Name:     "experiment",
		Usage:    "measure decisions on virtual time",
		Commands: []*cli.Command{rolesCommand(), ceilingCommand(sheets)},
	}
}

func rolesCommand() *cli.Command {
	return &cli.Command{
		Name:        "roles",
		Usage:       "compare policies of role changes side by side",
		Description: rolesHelp,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "deployment", Usage: "dombud or qafzeh", Value: "dombud"},
			&cli.IntFlag{Name: "seeds", Usage: "number of traces, seeded from 1", Value: 5},
			&cli.StringFlag{Name: "format", Usage: "text or json", Value: "text"},
			&cli.StringFlag{Name: "plot", Usage: "plot the run of the first seed over time to `FILE` (.png or .svg)"},
			&cli.BoolFlag{Name: "fifo", Usage: "use first-in-first-out admission instead of the admission controller"},
		},
		Action: runRoles,
	}
}

func runRoles(ctx context.Context, cmd *cli.Command) error {
	write, err := reportWriter(cmd.String("format"))
	if err != nil {
		return err
	}

	report, err := experiment.Run(ctx, experiment.Options{
		Deployment: cmd.String("deployment"),
		Seeds:      cmd.Int("seeds"),
		FIFO:       cmd.Bool("fifo"),
	})
	if err != nil {
		return Error.Wrap(err)
	}

	if err := write(cmd.Root().Writer, report); err != nil {
		return Error.Wrap(err)
	}

	if file := cmd.String("plot"); file != "" {
		return Error.Wrap(report.Plot(file))
	}

	return nil
}

// reportWriter returns the function that writes a report in format, text or json. Other formats are an error.
func reportWriter(format string) (func(io.Writer, *experiment.Report) error, error) {
	switch format {
	case "text":
		return func(w io.Writer, r *experiment.Report) error { return r.WriteText(w) }, nil
	case "json":
		return func(w io.Writer, r *experiment.Report) error {
			e := json.NewEncoder(w)
			e.SetIndent("", "  ")

			return e.Encode(r)
		}, nil
	default:
		return nil, Error.New("unknown format %q, want text or json", format)
	}
}
