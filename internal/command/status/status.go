// Package status implements the command status, which shows the state of the system as one entry host
// sees it.
package status

import (
	"context"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"

	"github.com/dotterelflow/dotterelflow/internal/command/operatorcli"
)

// Command returns the command status.
func Command() *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "show hosts, targets and authorities as one entry host sees them",
		Description: "Example: dotterelflow status --address 127.0.0.1:18012 --key-file operator.key\n\n" +
			operatorcli.ExitHelp,
		Flags:  operatorcli.Flags(),
		Action: run,
	}
}

func run(ctx context.Context, cmd *cli.Command) error {
	client, err := operatorcli.Connect(cmd)
	if err != nil {
		return err
	}

	s, err := client.Status(ctx)
	if err != nil {
		return operatorcli.WithExitCode(err)
	}

	return operatorcli.Print(cmd, s, func(w io.Writer) {
		_, _ = fmt.Fprintf(w, "generation %d\n\n", s.Generation)

		operatorcli.Table(w, "HOST\tDATA CENTRE\tADDRESS\tGENERATION\tREADY", len(s.Hosts), func(w io.Writer, i int) {
			h := s.Hosts[i]
			_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%t\n", h.ID, h.DataCentre, h.Address, h.Generation, h.Ready)
		})

		_, _ = fmt.Fprintln(w)

		operatorcli.Table(w, "TARGET\tDATA CENTRE\tSTATE\tROLE\tRUNNING\tQUEUED", len(s.Targets), func(w io.Writer, i int) {
			t := s.Targets[i]
			_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%d\n", t.ID, t.DataCentre, t.State, t.Role, t.Running, t.Queued)
		})

		_, _ = fmt.Fprintln(w)

		operatorcli.Table(w, "AUTHORITY OF\tHOLDER\tFENCE", len(s.Authorities), func(w io.Writer, i int) {
			a := s.Authorities[i]
			_, _ = fmt.Fprintf(w, "%s\t%s\t%d\n", a.DataCentre, a.Holder, a.Fence)
		})
	})
}
