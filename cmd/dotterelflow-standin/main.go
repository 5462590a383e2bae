// Command dotterelflow-standin runs stand-ins for the platform, model engines and plain services on loopback.
package main

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/dotterelflow/dotterelflow/internal/command/standin"
)

func main() {
	app := &cli.Command{
		Name:     "dotterelflow-standin",
		Usage:    "stand-ins for tests, the demo and load runs",
		Commands: standin.Commands(),
	}

	if err := app.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
