// Package status implements the command status, which shows the state of the system as one entry host
// sees it.
package status

import (
	"context"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"

	"github.com/dotterelflow/dotterelflow/internal/command/operatorcli"
	"github.com/dotterelflow/dotterelflow/internal/wire/operator"
)

// Command returns the command status.
func Command() *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: "show hosts, targets and authorities as one entry host sees them",
		Description: "With --wait, it first waits until at least --hosts entry hosts are there and, with --ready, serve by one configuration.\n\n" +
			"Example: dotterelflow status --address 127.0.0.1:18012 --key-file operator.key --wait 10s --hosts 2 --ready\n\n" +
			operatorcli.ExitHelp,
		Flags: append(operatorcli.Flags(),
			&cli.DurationFlag{Name: "wait", Usage: "longest `TIME` to wait for the hosts; 0 shows the present state"},
			&cli.IntFlag{Name: "hosts", Value: 1, Usage: "`NUMBER` of entry hosts to wait for"},
			&cli.BoolFlag{Name: "ready", Usage: "wait until these hosts are ready and have the same configuration"},
		),
		Action: run,
	}
}

func run(ctx context.Context, cmd *cli.Command) error {
	client, err := operatorcli.Connect(cmd)
	if err != nil {
		return err
	}

	if limit := cmd.Duration("wait"); limit > 0 {
		look := func(ctx context.Context) (string, error) {
			s, err := client.Status(ctx)

			return missing(s, cmd.Int("hosts"), cmd.Bool("ready")), err
		}
		if err := operatorcli.Wait(ctx, limit, look); err != nil {
			return err
		}
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

// missing states what keeps s from having the given number of hosts, which are ready with one configuration if ready is set. It is
// empty if nothing does.
func missing(s operator.Status, hosts int, ready bool) string {
	serving := 0

	for _, h := range s.Hosts {
		if h.Ready && h.Generation == s.Generation {
			serving++
		}
	}

	switch {
	case len(s.Hosts) < hosts:
		return fmt.Sprintf("%d of %d hosts are there", len(s.Hosts), hosts)
	case ready && serving < hosts:
		return fmt.Sprintf("%d of %d hosts are ready with configuration %d", serving, hosts, s.Generation)
	}

	return ""
}
