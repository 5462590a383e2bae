package operatorcli

import (
	"errors"
	"fmt"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/dotterelflow/dotterelflow/internal/site/yamlfile"
	"github.com/dotterelflow/dotterelflow/internal/wire/operator"
)

// Exit codes of the operators' commands.
const (
	ExitFailed      = 1 // nothing changed: the entry host or the platform is out of reach
	ExitRefused     = 2 // nothing changed: wrong use or refused input
	ExitConflict    = 3 // nothing changed: another edit came first
	ExitUnsettled   = 4 // the change may come into force: run the same command again
	ExitUnconfirmed = 5 // accepted, but some hosts had not confirmed in time
)

// ExitHelp documents the exit codes in the help of each command.
const ExitHelp = `Exit codes: 0 done; 1 nothing changed, the entry host or the platform is out of reach;
2 nothing changed, wrong use or refused input; 3 nothing changed, another edit came first;
4 not settled, run the command again with the edit id that it prints;
5 accepted, but some hosts had not confirmed in time.`

// usageError returns an error with the exit code ExitRefused.
func usageError(format string, args ...any) error {
	return cli.Exit(fmt.Sprintf(format, args...), ExitRefused)
}

// UsageError returns an error about wrong use of a command, with the exit code ExitRefused.
func UsageError(format string, args ...any) error {
	return usageError(format, args...)
}

// WithExitCode returns an error with the exit code and the advice for err. An err that already has an exit code is
// returned unchanged, and so is nil. An err of unknown type gets ExitFailed.
func WithExitCode(err error) error {
	if err == nil {
		return nil
	}

	var (
		exit    cli.ExitCoder
		invalid *yamlfile.InvalidError
		p       *operator.ProblemError
	)

	switch {
	case errors.As(err, &exit):
		return err
	case errors.As(err, &invalid):
		return cli.Exit(err.Error(), ExitRefused)
	case errors.As(err, &p):
		return cli.Exit(advice(p), exitCode(p.Code))
	default:
		return cli.Exit(fmt.Sprintf("%v\nIs the entry host running? Check --address, or try another host.", err), ExitFailed)
	}
}

func exitCode(code operator.Code) int {
	switch code {
	case operator.CodeConflict:
		return ExitConflict
	case operator.CodeUnsettled:
		return ExitUnsettled
	case operator.CodeNotAccepted, operator.CodeInternal:
		return ExitFailed
	default:
		return ExitRefused
	}
}

// advice returns the text that the command prints for p.
func advice(p *operator.ProblemError) string {
	var b strings.Builder

	switch p.Code {
	case operator.CodeInvalid:
		if len(p.Problems) == 0 {
			b.WriteString(p.Detail + "\n")
		}

		for _, problem := range p.Problems {
			b.WriteString(problem.String() + "\n")
		}

		b.WriteString("Nothing changed. Mend the places above and run the command again.")
	case operator.CodeConflict:
		fmt.Fprintf(&b, "Another edit came first; generation %d is in force. Nothing changed.\n", p.Generation)

		for _, conflict := range p.Conflicts {
			fmt.Fprintf(&b, "%s, changed in generation %d (- in force, + yours):\n%s", conflict.Ref, conflict.Generation, conflict.Diff)
		}

		b.WriteString("Show the item again, put your change into it, and run the command again.")
	case operator.CodeNotAccepted:
		b.WriteString("The platform is out of reach. Nothing changed; run the command again later.")
	case operator.CodeUnsettled:
		b.WriteString("The platform's answer was lost: the edit may come into force.")
	case operator.CodeUnauthorized:
		b.WriteString("The operator key is wrong. Check --key-file.")
	default:
		b.WriteString(p.Detail)
	}

	return b.String()
}
