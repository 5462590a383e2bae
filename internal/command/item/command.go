package item

import (
	"github.com/urfave/cli/v3"

	"github.com/dotterelflow/dotterelflow/internal/command/operatorcli"
	"github.com/dotterelflow/dotterelflow/internal/control/configuration"
)

// Templates returns the command template.
func Templates() *cli.Command {
	return command(configuration.Template, "templates of client accounts", "buyer-app")
}

// Accounts returns the command account.
func Accounts() *cli.Command {
	return command(configuration.Account, "client accounts", "buyer-app")
}

// Targets returns the command target.
func Targets() *cli.Command {
	return command(configuration.Target, "engines and services", "lodz-engine-1")
}

// commands implements the subcommands for one kind of item. example names an item for the help texts.
type commands struct {
	kind    configuration.Kind
	example string
}

func command(kind configuration.Kind, items, example string) *cli.Command {
	c := commands{kind: kind, example: example}

	return &cli.Command{
		Name:        string(kind),
		Usage:       "show and change " + items,
		Description: "Example: dotterelflow " + string(kind) + " show " + example + "\n\n" + operatorcli.ExitHelp,
		Commands: []*cli.Command{
			c.subcommand("list", "list the names", "", c.list),
			c.subcommand("show", "print one as a file that apply and edit take", "NAME", c.show),
			c.subcommand("apply", "create or change everything that the files state", "FILE...", c.apply, editFlags()...),
			c.subcommand("edit", "change one by a file or by parameters", "NAME", c.edit, append(editFlags(), changeFlags()...)...),
			c.subcommand("diff", "show what apply would change", "FILE...", c.diff, baseFlag()),
			c.subcommand("delete", "delete one", "NAME", c.remove, editFlags()...),
		},
	}
}

func (c commands) subcommand(name, usage, args string, action cli.ActionFunc, flags ...cli.Flag) *cli.Command {
	examples := map[string]string{
		"list":   "",
		"show":   " " + c.example + " > " + c.example + ".yaml",
		"apply":  " " + c.example + ".yaml",
		"edit":   " " + c.example + " --file " + c.example + ".yaml",
		"diff":   " " + c.example + ".yaml",
		"delete": " " + c.example,
	}

	return &cli.Command{
		Name:        name,
		Usage:       usage,
		ArgsUsage:   args,
		Description: "Example: dotterelflow " + string(c.kind) + " " + name + examples[name] + "\n\n" + operatorcli.ExitHelp,
		Flags:       append(operatorcli.Flags(), flags...),
		Action:      action,
	}
}

func baseFlag() cli.Flag {
	return &cli.Uint64Flag{
		Name: "base", Usage: "base `GENERATION` of the change; by default the oldest that the files state, else the newest",
	}
}

func editFlags() []cli.Flag {
	return []cli.Flag{
		baseFlag(),
		&cli.StringFlag{Name: "edit-id", Usage: "`ID` of an earlier edit that was not settled, to send it again"},
		&cli.DurationFlag{Name: "wait", Value: defaultWait, Usage: "`TIME` to wait for the hosts to confirm; 0 does not wait"},
	}
}

func changeFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: "file", Usage: "`FILE` with the changed item"},
		&cli.StringSliceFlag{Name: "set", Usage: "`PARAMETER=VALUE` of a client account; may be given more than once"},
	}
}
