package report

import (
	"context"
	"encoding/json"
	"io"
	"os"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/dotterelflow/dotterelflow/internal/command/operatorcli"
	"github.com/dotterelflow/dotterelflow/internal/measure/burnrate"
	"github.com/dotterelflow/dotterelflow/internal/measure/burnreport"
)

// outMode is the permission mode of a new report file.
const outMode = 0o644

// renderer writes a report in one format.
type renderer func(w io.Writer, r burnrate.Report) error

var formats = map[string]renderer{
	"text": burnreport.Text,
	"json": burnreport.JSON,
	"html": burnreport.HTML,
}

// Command returns the command report with its subcommands.
func Command() *cli.Command {
	return &cli.Command{
		Name:  "report",
		Usage: "show reports on what the system does",
		Commands: []*cli.Command{{
			Name:  "burn",
			Usage: "show which client accounts use up their error budgets, since when and why",
			Description: "Example: dotterelflow report burn --address 127.0.0.1:18012 --key-file operator.key --format html --out burn.html\n\n" +
				operatorcli.ExitHelp,
			Flags: append(operatorcli.ConnectFlags(),
				&cli.StringFlag{Name: "format", Usage: "text, json or html", Value: "text"},
				&cli.StringFlag{Name: "out", Usage: "write to `FILE` instead of standard output"},
			),
			Action: burnAction,
		}},
	}
}

func burnAction(ctx context.Context, cmd *cli.Command) error {
	render, ok := formats[cmd.String("format")]
	if !ok {
		return operatorcli.UsageError("unknown format %q, want text, json or html", cmd.String("format"))
	}

	client, err := operatorcli.Connect(cmd)
	if err != nil {
		return operatorcli.WithExitCode(err)
	}

	encoded, err := client.Burn(ctx)
	if err != nil {
		return operatorcli.WithExitCode(err)
	}

	var r burnrate.Report
	if err := json.Unmarshal(encoded, &r); err != nil {
		return Error.Wrap(err)
	}

	if cmd.String("out") == "" {
		return render(cmd.Root().Writer, r)
	}

	return writeFile(cmd.String("out"), r, render)
}

// writeFile renders r into the file at path. If rendering fails, an existing file is left unchanged.
func writeFile(path string, r burnrate.Report, render renderer) error {
	var b strings.Builder
	if err := render(&b, r); err != nil {
		return err
	}

	return Error.Wrap(os.WriteFile(path, []byte(b.String()), outMode))
}
