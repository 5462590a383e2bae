package item

import (
	"context"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"

	"github.com/dotterelflow/dotterelflow/internal/command/operatorcli"
	"github.com/dotterelflow/dotterelflow/internal/control/configuration"
	"github.com/dotterelflow/dotterelflow/internal/wire/operator"
)

// basePrefix starts the first line of a shown item, which states the generation that an edit from this
// file is based on.
const basePrefix = "# base-generation: "

func (c commands) list(ctx context.Context, cmd *cli.Command) error {
	client, err := operatorcli.Connect(cmd)
	if err != nil {
		return err
	}

	list, err := client.Items(ctx, c.kind)
	if err != nil {
		return operatorcli.WithExitCode(err)
	}

	return operatorcli.Print(cmd, list, func(w io.Writer) {
		operatorcli.Table(w, "NAME\tCHANGED IN", len(list.Items), func(w io.Writer, i int) {
			_, _ = fmt.Fprintf(w, "%s\t%d\n", list.Items[i].Name, list.Items[i].Generation)
		})
	})
}

func (c commands) show(ctx context.Context, cmd *cli.Command) error {
	client, ref, err := c.connectNamed(cmd)
	if err != nil {
		return err
	}

	list, err := client.Item(ctx, ref)
	if err != nil {
		return operatorcli.WithExitCode(err)
	}

	return operatorcli.Print(cmd, list, func(w io.Writer) {
		_, _ = fmt.Fprintf(w, "%s%d\n%s", basePrefix, list.Generation, list.Items[0].YAML)
	})
}

// connectNamed returns a client, and the item that the only argument names.
func (c commands) connectNamed(cmd *cli.Command) (*operator.Client, configuration.Ref, error) {
	ref := configuration.Ref{Kind: c.kind, Name: cmd.Args().First()}

	if cmd.Args().Len() != 1 {
		return nil, ref, operatorcli.UsageError("give the name of one %s; the command list shows them", c.kind)
	}

	client, err := operatorcli.Connect(cmd)

	return client, ref, err
}

func (c commands) diff(ctx context.Context, cmd *cli.Command) error {
	client, request, err := c.editFromArguments(ctx, cmd)
	if err != nil {
		return operatorcli.WithExitCode(err)
	}

	result, err := client.Diff(ctx, request)
	if err != nil {
		return operatorcli.WithExitCode(err)
	}

	return operatorcli.Print(cmd, result, func(w io.Writer) { _, _ = io.WriteString(w, result.Diff) })
}
