package experiment

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/dotterelflow/dotterelflow/internal/measure/ceiling"
)

// Sheets reads a platform's description of a deployment and of its days.
type Sheets struct {
	Load    func(path string) (ceiling.Engine, []ceiling.Kind, error)
	LoadDay func(path string, kinds []ceiling.Kind) ([]ceiling.Moment, error)
}

const ceilingHelp = `Works out, for each split of a deployment's model replicas between reading prompts and generating
answers, how much of them is in use and which part of the credit could be earned at best. Nothing is played: work
is shared evenly and nothing queues below full use.

Example:
   dotterelflow experiment ceiling --day deploy/days/callers.toml --held 0.8 SITE.toml`

func ceilingCommand(sheets Sheets) *cli.Command {
	return &cli.Command{
		Name:        "ceiling",
		Usage:       "work out the most that a deployment could earn",
		ArgsUsage:   "SITE.toml",
		Description: ceilingHelp,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "day", Usage: "a day of trouble in `FILE`; without one the load is steady"},
			&cli.FloatFlag{Name: "held", Usage: "part of the shared tokens that the chosen replica holds", Value: 0.8},
			&cli.FloatFlag{Name: "load", Usage: "times the usual rate of all kinds", Value: 1},
		},
		Action: func(_ context.Context, cmd *cli.Command) error {
			if cmd.NArg() != 1 {
				return Error.New("name one sheet")
			}

			engine, kinds, err := sheets.Load(cmd.Args().First())
			if err != nil {
				return err
			}

			for i := range kinds {
				kinds[i].PerSecond *= cmd.Float("load")
			}

			day := []ceiling.Moment{{Lasts: time.Second}}
			if file := cmd.String("day"); file != "" {
				if day, err = sheets.LoadDay(file, kinds); err != nil {
					return err
				}
			}

			return writeSplits(cmd.Root().Writer, ceiling.Splits(engine, kinds, day, ceiling.Options{Held: cmd.Float("held")}))
		},
	}
}

func writeSplits(w io.Writer, splits []ceiling.Split) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)

	_, _ = fmt.Fprintln(t, "readers\tread\tgenerate\tmemory\tcredit\t")

	for _, s := range splits {
		_, _ = fmt.Fprintf(t, "%d\t%.2f\t%.2f\t%.2f\t%.3f\t\n", s.Readers, s.Read, s.Generate, s.Memory, s.Credit)
	}

	best := ceiling.Best(splits)
	_, _ = fmt.Fprintf(t, "best: %d readers, credit %.3f\n", best.Readers, best.Credit)

	return Error.Wrap(t.Flush())
}
