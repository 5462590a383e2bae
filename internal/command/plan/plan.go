// Package plan implements the command plan, which declares, lists and cancels planned changes of targets.
package plan

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/google/uuid"
	"github.com/urfave/cli/v3"

	"github.com/dotterelflow/dotterelflow/internal/command/operatorcli"
	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/control/plans"
	"github.com/dotterelflow/dotterelflow/internal/wire/operator"
)

// Command returns the command plan.
func Command() *cli.Command {
	return &cli.Command{
		Name:        "plan",
		Usage:       "declare planned changes of targets",
		Description: "Example: dotterelflow plan drain lodz-engine-1\n\n" + operatorcli.ExitHelp,
		Commands: []*cli.Command{
			subcommand(string(operator.Drain), "stop new work on a target and wait until none runs", "TARGET", "lodz-engine-1", drain(operator.Drain), declareFlags()...),
			subcommand(string(operator.Replace), "drain a target once another one serves in its place", "TARGET WITH", "lodz-engine-1 lodz-engine-2", replace, declareFlags()...),
			subcommand(string(operator.Withdraw), "drain a target and take it out for good", "TARGET", "lodz-engine-1", drain(operator.Withdraw), declareFlags()...),
			subcommand(string(operator.Role), "drain an engine and change its role", "TARGET ROLE", "lodz-engine-1 decode", role, declareFlags()...),
			subcommand("list", "list the plans", "", "", list),
			subcommand("cancel", "end a plan", "ID", "0b8e4a52-5f4e-4c1c-9f57-2f6d3b1a9c11", cancel),
		},
	}
}

func subcommand(name, usage, args, example string, action cli.ActionFunc, flags ...cli.Flag) *cli.Command {
	return &cli.Command{
		Name:        name,
		Usage:       usage,
		ArgsUsage:   args,
		Description: "Example: dotterelflow plan " + name + " " + example + "\n\n" + operatorcli.ExitHelp,
		Flags:       append(operatorcli.Flags(), flags...),
		Action:      action,
	}
}

func declareFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "id", Usage: "`ID` of the plan, to repeat a declaration whose answer was lost"},
		&cli.DurationFlag{Name: "wait", Usage: "longest `TIME` to wait until the plan has ended; 0 does not wait"},
	}
}

// drain returns the action of the subcommands that drain one target without further arguments.
func drain(action operator.Action) cli.ActionFunc {
	return func(ctx context.Context, cmd *cli.Command) error {
		if cmd.Args().Len() != 1 {
			return operatorcli.UsageError("give one target; the command target list shows them")
		}

		return declare(ctx, cmd, operator.Plan{Action: action})
	}
}

func replace(ctx context.Context, cmd *cli.Command) error {
	if cmd.Args().Len() != 2 {
		return operatorcli.UsageError("give the target and the one that takes its place")
	}

	return declare(ctx, cmd, operator.Plan{Action: operator.Replace, Replacement: entity.TargetID(cmd.Args().Get(1))})
}

func role(ctx context.Context, cmd *cli.Command) error {
	if cmd.Args().Len() != 2 {
		return operatorcli.UsageError("give the engine and its new role: mixed, prefill or decode")
	}

	var to entity.Role
	if err := to.UnmarshalText([]byte(cmd.Args().Get(1))); err != nil {
		return operatorcli.UsageError("%q is no role; give mixed, prefill or decode", cmd.Args().Get(1))
	}

	return declare(ctx, cmd, operator.Plan{Action: operator.Role, Role: &to})
}

// declare declares p for the target in the first argument, under the ID of --id or a new ID.
func declare(ctx context.Context, cmd *cli.Command, p operator.Plan) error {
	client, err := operatorcli.Connect(cmd)
	if err != nil {
		return err
	}

	p.Target = entity.TargetID(cmd.Args().First())

	p.ID = cmd.String("id")
	if p.ID == "" {
		p.ID = uuid.NewString()
	}

	declared, err := client.Declare(ctx, p)
	if err != nil {
		return operatorcli.WithExitCode(fmt.Errorf("plan %s: %w", p.ID, err))
	}

	if limit := cmd.Duration("wait"); limit > 0 {
		if declared, err = awaitEnd(ctx, client, limit, declared); err != nil {
			return err
		}
	}

	return operatorcli.Print(cmd, declared, func(w io.Writer) {
		_, _ = fmt.Fprintf(w, "Plan %s: %s %s is %s.\n", declared.ID, declared.Action, declared.Target, declared.State)
	})
}

// awaitEnd waits until p has ended and returns its last state. It fails if p has not ended within limit, or without success.
func awaitEnd(ctx context.Context, client *operator.Client, limit time.Duration, p operator.Plan) (operator.Plan, error) {
	err := operatorcli.Wait(ctx, limit, func(ctx context.Context) (string, error) {
		all, err := client.Plans(ctx)

		for _, other := range all.Plans {
			if other.ID == p.ID {
				p = other
			}
		}

		if !plans.Phase(p.State).Ended() {
			return fmt.Sprintf("plan %s is %s", p.ID, p.State), err
		}

		return "", err
	})
	if err == nil && plans.Phase(p.State) == plans.Failed {
		err = cli.Exit(fmt.Sprintf("Plan %s failed: %s.", p.ID, p.Detail), operatorcli.ExitFailed)
	}

	return p, err
}

func list(ctx context.Context, cmd *cli.Command) error {
	client, err := operatorcli.Connect(cmd)
	if err != nil {
		return err
	}

	plans, err := client.Plans(ctx)
	if err != nil {
		return operatorcli.WithExitCode(err)
	}

	return operatorcli.Print(cmd, plans, func(w io.Writer) {
		operatorcli.Table(w, "ID\tACTION\tTARGET\tSTATE\tDETAIL", len(plans.Plans), func(w io.Writer, i int) {
			p := plans.Plans[i]
			_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", p.ID, p.Action, p.Target, p.State, p.Detail)
		})
	})
}

func cancel(ctx context.Context, cmd *cli.Command) error {
	if cmd.Args().Len() != 1 {
		return operatorcli.UsageError("give the id of one plan; the command plan list shows them")
	}

	client, err := operatorcli.Connect(cmd)
	if err != nil {
		return err
	}

	id := cmd.Args().First()
	if err := client.Cancel(ctx, id); err != nil {
		return operatorcli.WithExitCode(err)
	}

	return operatorcli.Print(cmd, map[string]string{"cancelled": id}, func(w io.Writer) {
		_, _ = fmt.Fprintf(w, "Plan %s is cancelled.\n", id)
	})
}
