package experiment

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/dotterelflow/dotterelflow/internal/measure/capacity"
)

// Sheets holds the functions that read a platform's sheets, the TOML files that describe a deployment or a day.
// Load reads the sheet of a deployment, LoadDay that of a day, with its load and its unavailable replicas.
type Sheets struct {
	Load    func(path string) (capacity.Engine, []capacity.Kind, error)
	LoadDay func(path string, kinds []capacity.Kind) ([]capacity.Period, error)
}

const ceilingHelp = `Computes, for each split of a deployment's model replicas between reading prompts and generating
answers, their utilisation and the largest part of the credit that could be earned. Nothing is simulated: the
model spreads work evenly, and nothing queues below full utilisation.

Example:
   dotterelflow experiment ceiling --day deploy/days/callers.toml --held 0.8 SITE.toml`

func ceilingCommand(sheets Sheets) *cli.Command {
	return &cli.Command{
		Name:        "ceiling",
		Usage:       "compute an upper bound on the credit that a deployment can earn",
		ArgsUsage:   "SITE.toml",
		Description: ceilingHelp,
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "day", Usage: "`FILE` with the load and outages of a day; without it the load is steady"},
			&cli.FloatFlag{Name: "held", Usage: "fraction of the shared prompt tokens that the chosen replica has cached", Value: 0.8},
			&cli.FloatFlag{Name: "load", Usage: "factor on the usual request rate of all kinds", Value: 1},
		},
		Action: func(_ context.Context, cmd *cli.Command) error {
			if cmd.NArg() != 1 {
				return Error.New("give exactly one sheet, SITE.toml")
			}

			engine, kinds, err := sheets.Load(cmd.Args().First())
			if err != nil {
				return err
			}

			for i := range kinds {
				kinds[i].PerSecond *= cmd.Float("load")
			}

			day := []capacity.Period{{Length: time.Second}}
			if file := cmd.String("day"); file != "" {
				if day, err = sheets.LoadDay(file, kinds); err != nil {
					return err
				}
			}

			return writeSplits(cmd.Root().Writer, capacity.Splits(engine, kinds, day, capacity.Options{CachedShare: cmd.Float("held")}))
		},
	}
}

// writeSplits writes the splits as a table, and below the table the split with the most credit.
func writeSplits(w io.Writer, splits []capacity.Split) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)

	_, _ = fmt.Fprintln(t, "readers\tread\tgenerate\tmemory\tcredit\t")

	for _, s := range splits {
		_, _ = fmt.Fprintf(t, "%d\t%.2f\t%.2f\t%.2f\t%.3f\t\n", s.Readers, s.ReadUse, s.GenerateUse, s.MemoryUse, s.Credit)
	}

	best := capacity.Best(splits)
	_, _ = fmt.Fprintf(t, "best: %d readers, credit %.3f\n", best.Readers, best.Credit)

	return Error.Wrap(t.Flush())
}
