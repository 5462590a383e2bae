package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"

	"github.com/urfave/cli/v3"

	"github.com/dotterelflow/dotterelflow/internal/control/catalog"
	"github.com/dotterelflow/dotterelflow/internal/control/catalogcheck"
	"github.com/dotterelflow/dotterelflow/platform/manifest"
)

// Exit codes of the check of a configuration.
const (
	exitUnreadable = 1 // a file cannot be read or decoded
	exitProblems   = 2 // the configuration has problems
)

// checkCommand returns the command that examines a configuration before it is sent. It decodes it as hosts do.
func checkCommand() *cli.Command {
	return &cli.Command{
		Name:      "check-configuration",
		Usage:     "examine a configuration before it is sent",
		ArgsUsage: "FILE",
		Description: "Prints problems, what has no effect, and what differs from the configuration in force.\n" +
			"Exit codes: 0 no problem; 1 a file cannot be read or decoded; 2 there are problems.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "in-force", Usage: "`FILE` with the configuration in force"},
			&cli.BoolFlag{Name: "json", Usage: "print JSON"},
		},
		Action: checkConfiguration,
	}
}

func checkConfiguration(_ context.Context, c *cli.Command) error {
	if c.Args().Len() != 1 {
		return cli.Exit("give one file with a configuration", exitUnreadable)
	}

	next, err := readContents(c.Args().First())
	if err != nil {
		return cli.Exit(err.Error(), exitUnreadable)
	}

	findings := catalogcheck.Check(next)

	if path := c.String("in-force"); path != "" {
		current, err := readContents(path)
		if err != nil {
			return cli.Exit(err.Error(), exitUnreadable)
		}

		findings = append(findings, catalogcheck.Compare(current, next)...)
	}

	if err := printFindings(c.Root().Writer, findings, c.Bool("json")); err != nil {
		return cli.Exit(err.Error(), exitUnreadable)
	}

	if slices.ContainsFunc(findings, func(f catalogcheck.Finding) bool { return f.Severity == catalogcheck.Problem }) {
		return cli.Exit("", exitProblems)
	}

	return nil
}

func readContents(path string) (catalog.Contents, error) {
	spec, err := os.ReadFile(path)
	if err != nil {
		return catalog.Contents{}, err
	}

	c, err := manifest.Contents(spec)
	if err != nil {
		return catalog.Contents{}, fmt.Errorf("%s: %w", path, err)
	}

	return c, nil
}

func printFindings(w io.Writer, findings []catalogcheck.Finding, asJSON bool) error {
	if asJSON {
		if findings == nil {
			findings = []catalogcheck.Finding{} // an empty list, not null
		}

		return json.NewEncoder(w).Encode(findings)
	}

	for _, f := range findings {
		if _, err := fmt.Fprintf(w, "%s: %s: %s\n", f.Severity, f.Place, f.Text); err != nil {
			return err
		}
	}

	return nil
}
