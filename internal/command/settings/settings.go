// Package settings implements the command settings, which checks settings files of entry hosts.
package settings

import (
	"context"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"

	"github.com/dotterelflow/dotterelflow/internal/command/operatorcli"
	"github.com/dotterelflow/dotterelflow/internal/site/settings"
)

// Command returns the command settings.
func Command() *cli.Command {
	return &cli.Command{
		Name:        "settings",
		Usage:       "check settings of an entry host",
		Description: "Example: dotterelflow settings check examples/settings/entry-1.yaml",
		Commands: []*cli.Command{{
			Name:      "check",
			Usage:     "check settings files and print a summary of each",
			ArgsUsage: "FILE...",
			Description: "Example: dotterelflow settings check examples/settings/entry-1.yaml\n\n" +
				"Exit codes: 0 each file is good; 2 wrong use, or a file is refused.",
			Flags:  []cli.Flag{operatorcli.FormatFlag()},
			Action: check,
		}},
	}
}

// summary holds the settings that the command prints. It leaves out the operator key.
type summary struct {
	File       string `json:"file"`
	ID         string `json:"id"`
	DataCentre string `json:"data-centre"`
	Caller     string `json:"caller"`
	Operator   string `json:"operator"`
	Peer       string `json:"peer"`
	Platform   string `json:"platform"`
	Peers      int    `json:"peers"`
}

func check(_ context.Context, cmd *cli.Command) error {
	if cmd.Args().Len() == 0 {
		return operatorcli.UsageError("give one or more settings files")
	}

	var checked []summary

	for _, path := range cmd.Args().Slice() {
		s, err := settings.Load(path)
		if err != nil {
			return cli.Exit(fmt.Sprintf("%v\nMend the place above and check again.", err), operatorcli.ExitRefused)
		}

		checked = append(checked, summary{
			File: path, ID: s.ID, DataCentre: string(s.DataCentre), Caller: s.Listen.Caller, Operator: s.Listen.Operator,
			Peer: s.Listen.Peer, Platform: s.Platform, Peers: len(s.Peers),
		})
	}

	return operatorcli.Print(cmd, checked, func(w io.Writer) {
		for _, s := range checked {
			_, _ = fmt.Fprintf(w, "%s: good: %s in %s, callers %s, operators %s, peers %s, platform %s, %d other hosts\n",
				s.File, s.ID, s.DataCentre, s.Caller, s.Operator, s.Peer, s.Platform, s.Peers)
		}
	})
}
