package report

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/dotterelflow/dotterelflow/internal/measure/burn"
	"github.com/dotterelflow/dotterelflow/internal/measure/burnreport"
)

const (
	burnPath       = "/v1/burn"
	fetchTimeout   = 30 * time.Second
	maxReportBytes = 16 << 20
	maxErrorBytes  = 4 << 10
	outMode        = 0o644
)

// renderer writes a report in one format.
type renderer func(w io.Writer, r burn.Report) error

var formats = map[string]renderer{
	"text": burnreport.Text,
	"json": burnreport.JSON,
	"html": burnreport.HTML,
}

// Command returns the command "report" with its subcommands.
func Command() *cli.Command {
	return &cli.Command{
		Name:  "report",
		Usage: "show reports on what the system does",
		Commands: []*cli.Command{{
			Name:  "burn",
			Usage: "show which client accounts use up their error budgets, since when and why",
			Flags: []cli.Flag{
				&cli.StringFlag{Name: "operator", Usage: "`ADDRESS` (ip:port) of an entry host's operator API", Required: true},
				&cli.StringFlag{Name: "key-file", Usage: "`FILE` that holds the operator key", Required: true},
				&cli.StringFlag{Name: "format", Usage: "text, json or html", Value: "text"},
				&cli.StringFlag{Name: "out", Usage: "write to `FILE` instead of standard output"},
			},
			Action: burnAction,
		}},
	}
}

func burnAction(ctx context.Context, cmd *cli.Command) error {
	render, ok := formats[cmd.String("format")]
	if !ok {
		return Error.New("unknown format %q, want text, json or html", cmd.String("format"))
	}

	key, err := os.ReadFile(cmd.String("key-file"))
	if err != nil {
		return Error.Wrap(err)
	}

	r, err := fetch(ctx, cmd.String("operator"), strings.TrimSpace(string(key)))
	if err != nil {
		return err
	}

	if cmd.String("out") == "" {
		return render(cmd.Root().Writer, r)
	}

	return writeFile(cmd.String("out"), r, render)
}

// writeFile leaves an older file untouched until the report is rendered.
func writeFile(path string, r burn.Report, render renderer) error {
	var b strings.Builder
	if err := render(&b, r); err != nil {
		return err
	}

	return Error.Wrap(os.WriteFile(path, []byte(b.String()), outMode))
}

// fetch gets the report from the operator API at address, which may carry a scheme.
func fetch(ctx context.Context, address, key string) (burn.Report, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()

	if !strings.Contains(address, "://") {
		address = "http://" + address
	}

	req, err := http.NewRequestWithContext(ctx, http.MethodGet, strings.TrimRight(address, "/")+burnPath, nil)
	if err != nil {
		return burn.Report{}, Error.Wrap(err)
	}

	req.Header.Set("Authorization", "Bearer "+key)

	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return burn.Report{}, Error.Wrap(err)
	}
	defer func() { _ = resp.Body.Close() }()

	if resp.StatusCode != http.StatusOK {
		body, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))

		return burn.Report{}, Error.New("%s: %s", resp.Status, strings.TrimSpace(fmt.Sprintf("%q", body)))
	}

	var r burn.Report
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxReportBytes)).Decode(&r); err != nil {
		return burn.Report{}, Error.Wrap(err)
	}

	return r, nil
}
