// Command dotterelflow runs the entry host, its operator tools and its load and measurement tools.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/dotterelflow/dotterelflow/internal/command/demo"
	"github.com/dotterelflow/dotterelflow/internal/command/entry"
	"github.com/dotterelflow/dotterelflow/internal/command/experiment"
	"github.com/dotterelflow/dotterelflow/internal/command/item"
	"github.com/dotterelflow/dotterelflow/internal/command/load"
	"github.com/dotterelflow/dotterelflow/internal/command/plan"
	"github.com/dotterelflow/dotterelflow/internal/command/report"
	"github.com/dotterelflow/dotterelflow/internal/command/settings"
	"github.com/dotterelflow/dotterelflow/internal/command/status"
	"github.com/dotterelflow/dotterelflow/platform/workload"
)

func main() {
	app := &cli.Command{
		Name:                  "dotterelflow",
		Usage:                 "serve model and application requests on a fixed fleet",
		EnableShellCompletion: true,
		Commands: []*cli.Command{
			demo.Command(),
			entry.Command(),
			settings.Command(),
			item.Templates(),
			item.Accounts(),
			item.Targets(),
			plan.Command(),
			status.Command(),
			report.Command(),
			experiment.Command(experiment.Sheets{Load: workload.Load, LoadDay: workload.LoadDay}),
			load.Command(),
		},
	}

	if err := app.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "dotterelflow:", err)
		os.Exit(1)
	}
}
