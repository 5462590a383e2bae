package demo

import (
	"context"
	"fmt"
	"io"
	"path/filepath"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"
	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("demo")

const demoTimeout = 30 * time.Second

var exampleNames = [...]string{"dombud", "qafzeh"}

// Command returns the demo command.
func Command() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "run the whole system in this process and send one request of each kind",
		Description: "Runs, for each example deployment, an embedded platform, two engines, one service and\n" +
			"two entry hosts on loopback, prints each answer and a table of the outcomes.\n" +
			"Exits 1 if an answer is not whole.\n\n" +
			"Example: go run ./cmd/dotterelflow demo",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "examples", Value: "examples", Usage: "`DIRECTORY` of the example deployments"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			ctx, cancel := context.WithTimeout(ctx, demoTimeout)
			defer cancel()

			return run(ctx, cmd.Root().Writer, cmd.String("examples"))
		},
	}
}

func run(ctx context.Context, w io.Writer, examples string) error {
	var results []result

	for _, name := range exampleNames {
		d, err := startDeployment(ctx, name, filepath.Join(examples, name))
		if err != nil {
			return err
		}

		_, _ = fmt.Fprintf(w, "\n== %s: entry hosts at %s\n", name, d.addresses())

		results = append(results, d.sendAll(ctx, w)...)

		if err := d.close(); err != nil {
			return err
		}
	}

	return summarize(w, results)
}

// summarize prints the table of outcomes. It returns an error if a request failed or its answer was
// incomplete or wrong.
func summarize(w io.Writer, results []result) error {
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(tw, "\nDEPLOYMENT\tACCOUNT\tKIND\tURGENCY\tAT MOST ONCE\tTIME\tOUTCOME")

	failed := 0

	for _, r := range results {
		outcome := "whole"
		if r.err != nil {
			outcome = "FAILED"
			failed++
		}

		_, _ = fmt.Fprintf(tw, "%s\t%s\t%s\t%s\t%v\t%v\t%s\n", r.deployment, r.account, r.kind.Name, r.kind.Urgency,
			r.kind.AtMostOnce, r.took.Round(time.Millisecond), outcome)
	}

	if err := tw.Flush(); err != nil {
		return Error.Wrap(err)
	}

	if failed > 0 {
		return Error.New("%d of %d answers were not whole", failed, len(results))
	}

	return nil
}
