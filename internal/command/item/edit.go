package item

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/urfave/cli/v3"

	"github.com/dotterelflow/dotterelflow/internal/command/operatorcli"
	"github.com/dotterelflow/dotterelflow/internal/control/configuration"
	"github.com/dotterelflow/dotterelflow/internal/control/document"
	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/site/yamlfile"
	"github.com/dotterelflow/dotterelflow/internal/wire/operator"
)

const (
	defaultWait = 10 * time.Second
	retryPause  = 500 * time.Millisecond
)

func (c commands) apply(ctx context.Context, cmd *cli.Command) error {
	client, request, err := c.editFromArguments(ctx, cmd)
	if err != nil {
		return operatorcli.WithExitCode(err)
	}

	return send(ctx, cmd, client, request)
}

// editFromArguments returns a client, and the edit that applies the files that the arguments name.
func (c commands) editFromArguments(ctx context.Context, cmd *cli.Command) (*operator.Client, operator.EditRequest, error) {
	client, err := operatorcli.Connect(cmd)
	if err != nil {
		return nil, operator.EditRequest{}, err
	}

	request, err := c.editFromFiles(ctx, cmd, client, cmd.Args().Slice())

	return client, request, err
}

func (c commands) edit(ctx context.Context, cmd *cli.Command) error {
	client, ref, err := c.connectNamed(cmd)
	if err != nil {
		return err
	}

	file, settings := cmd.String("file"), cmd.StringSlice("set")

	switch {
	case (file == "") == (len(settings) == 0):
		return operatorcli.UsageError("give either --file FILE, from the command show, or --set PARAMETER=VALUE")
	case file != "":
		request, err := c.editFromFiles(ctx, cmd, client, []string{file})
		if err != nil {
			return operatorcli.WithExitCode(err)
		}

		if err := c.requireOnly(request.Files[0], ref); err != nil {
			return operatorcli.WithExitCode(err)
		}

		return send(ctx, cmd, client, request)
	case c.kind != configuration.Account:
		return operatorcli.UsageError("--set changes parameters of client accounts; use --file")
	}

	request, err := editFromParameters(ctx, cmd, client, ref, settings)
	if err != nil {
		return operatorcli.WithExitCode(err)
	}

	return send(ctx, cmd, client, request)
}

func (c commands) remove(ctx context.Context, cmd *cli.Command) error {
	client, ref, err := c.connectNamed(cmd)
	if err != nil {
		return err
	}

	list, err := client.Item(ctx, ref)
	if err != nil {
		return operatorcli.WithExitCode(err)
	}

	request := operator.EditRequest{Base: list.Generation, Delete: []configuration.Ref{ref}}
	if cmd.IsSet("base") {
		request.Base = entity.Generation(cmd.Uint64("base"))
	}

	return send(ctx, cmd, client, request)
}

// editFromFiles returns the edit that applies the files at paths. Its base generation is that of --base,
// else the oldest that a file states, else the newest generation.
func (c commands) editFromFiles(ctx context.Context, cmd *cli.Command, client *operator.Client, paths []string) (operator.EditRequest, error) {
	var request operator.EditRequest

	if len(paths) == 0 {
		return request, operatorcli.UsageError("give one or more files; the command show prints one")
	}

	base, stated := entity.Generation(cmd.Uint64("base")), cmd.IsSet("base")

	for _, path := range paths {
		data, err := os.ReadFile(path)
		if err != nil {
			return request, operatorcli.UsageError("%v", err)
		}

		if _, err := document.Parse(path, data); err != nil {
			return request, err
		}

		request.Files = append(request.Files, operator.File{Name: path, Text: string(data)})

		if g, ok := statedBase(string(data)); ok && !cmd.IsSet("base") && (!stated || g < base) {
			base, stated = g, true
		}
	}

	if stated {
		request.Base = base

		return request, nil
	}

	list, err := client.Items(ctx, c.kind)
	request.Base = list.Generation

	return request, err
}

// statedBase returns the base generation in the first line of a file, and whether there is one.
func statedBase(text string) (entity.Generation, bool) {
	line, _, _ := strings.Cut(text, "\n")

	number, ok := strings.CutPrefix(line, basePrefix)
	if !ok {
		return 0, false
	}

	g, err := strconv.ParseUint(strings.TrimSpace(number), 10, 64)

	return entity.Generation(g), err == nil
}

// requireOnly returns an error if f is invalid, or does not state ref and nothing else.
func (c commands) requireOnly(f operator.File, ref configuration.Ref) error {
	d, err := document.Parse(f.Name, []byte(f.Text))
	if err != nil {
		return err
	}

	changes, err := configuration.ChangesOf(d)
	if err != nil {
		return err
	}

	if len(changes) != 1 || changes[0].Ref != ref {
		return yamlfile.NewInvalidError(f.Name, 0, "the file must state the %s and nothing else; apply takes any file", ref)
	}

	return nil
}

// editFromParameters returns the edit that sets parameters of the client account ref. Each setting has
// the form PARAMETER=VALUE.
func editFromParameters(ctx context.Context, cmd *cli.Command, client *operator.Client, ref configuration.Ref, settings []string) (operator.EditRequest, error) {
	list, err := client.Item(ctx, ref)
	if err != nil {
		return operator.EditRequest{}, err
	}

	d, err := document.Parse(ref.String(), []byte(list.Items[0].YAML))
	if err != nil {
		return operator.EditRequest{}, err
	}

	a := &d.Accounts[0]
	if a.Parameters == nil {
		a.Parameters = map[string]document.Text{}
	}

	for _, s := range settings {
		name, value, ok := strings.Cut(s, "=")
		if !ok {
			return operator.EditRequest{}, operatorcli.UsageError("--set %q is not PARAMETER=VALUE", s)
		}

		a.Parameters[name] = document.NewText(value)
	}

	text, err := d.YAML()
	if err != nil {
		return operator.EditRequest{}, err
	}

	request := operator.EditRequest{Base: list.Generation, Files: []operator.File{{Name: ref.String(), Text: string(text)}}}
	if cmd.IsSet("base") {
		request.Base = entity.Generation(cmd.Uint64("base"))
	}

	return request, nil
}

// send sends the edit. Once the outcome of a call is unknown, it sends the edit again until an answer shows whether the
// edit is accepted, or --timeout has passed.
func send(ctx context.Context, cmd *cli.Command, client *operator.Client, request operator.EditRequest) error {
	ctx, cancel := context.WithTimeout(ctx, cmd.Duration("timeout"))
	defer cancel()

	request.Wait = operator.Duration(cmd.Duration("wait"))
	request.ID = configuration.EditID(cmd.String("edit-id"))

	// With --edit-id, an earlier run of the command may have had the edit accepted.
	mayBeAccepted := request.ID != ""
	if !mayBeAccepted {
		request.ID = configuration.EditID(uuid.NewString())
	}

	for {
		result, err := client.Apply(ctx, request)
		if err == nil {
			return report(cmd, request, result)
		}

		mayBeAccepted = mayBeAccepted || outcomeUnknown(err)

		if !mayBeAccepted || rulesOutAcceptance(err) {
			return operatorcli.WithExitCode(err)
		}

		select {
		case <-ctx.Done():
			return cli.Exit(fmt.Sprintf("The edit is not settled: it may come into force. Run the command again with --edit-id %s --base %d.",
				request.ID, request.Base), operatorcli.ExitUnsettled)
		case <-time.After(retryPause):
		}
	}
}

// outcomeUnknown reports whether the call that failed with err may have had the edit accepted.
func outcomeUnknown(err error) bool {
	var p *operator.ProblemError
	if errors.As(err, &p) {
		return p.Code == operator.CodeUnsettled || p.Code == operator.CodeInternal
	}

	// If dialling failed, nothing was sent.
	var netErr *net.OpError

	return !errors.As(err, &netErr) || netErr.Op != "dial"
}

// rulesOutAcceptance reports whether err shows that neither this call nor an earlier one had the edit
// accepted.
func rulesOutAcceptance(err error) bool {
	var p *operator.ProblemError

	return errors.As(err, &p) && (p.Code == operator.CodeConflict || p.Code == operator.CodeInvalid)
}

// report prints the result of an accepted edit. It returns an error with ExitUnconfirmed if hosts did not
// confirm the edit within --wait, unless --wait is 0.
func report(cmd *cli.Command, request operator.EditRequest, result operator.EditResult) error {
	err := operatorcli.Print(cmd, result, func(w io.Writer) {
		_, _ = fmt.Fprintf(w, "Accepted as generation %d (edit %s).\n", result.Generation, request.ID)

		if len(result.Unconfirmed) == 0 {
			_, _ = fmt.Fprintln(w, "Every known host has it in force.")
		}
	})
	if err != nil || len(result.Unconfirmed) == 0 || request.Wait == 0 {
		return err
	}

	var b strings.Builder

	b.WriteString("Accepted, but not confirmed in time by:\n")

	for _, h := range result.Unconfirmed {
		fmt.Fprintf(&b, "  %s (%s, %s) has generation %d\n", h.ID, h.DataCentre, h.Address, h.Generation)
	}

	b.WriteString("The edit is kept and reaches them when they can be reached. The command status shows them.")

	return cli.Exit(b.String(), operatorcli.ExitUnconfirmed)
}
