package standin

import (
	"context"
	"fmt"
	"net/http"
	"os/signal"
	"syscall"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/urfave/cli/v3"

	"github.com/dotterelflow/dotterelflow/internal/standin/engine"
	"github.com/dotterelflow/dotterelflow/internal/standin/httpserver"
	"github.com/dotterelflow/dotterelflow/internal/standin/platform"
	"github.com/dotterelflow/dotterelflow/internal/standin/service"
)

// Commands returns the commands of the stand-in program.
func Commands() []*cli.Command {
	return []*cli.Command{platformCommand(), engineCommand(), serviceCommand()}
}

func listenFlag(example string) cli.Flag {
	return &cli.StringFlag{Name: "listen", Required: true, Usage: "`IP:PORT` to listen on, for example " + example}
}

func platformCommand() *cli.Command {
	return &cli.Command{
		Name:        "platform",
		Usage:       "run a stand-in for the platform's object API and host list",
		Description: "Example: dotterelflow-standin platform --listen 127.0.0.1:18001",
		Flags:       []cli.Flag{listenFlag("127.0.0.1:18001")},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			return serve(ctx, cmd, platform.Handler(platform.NewStore(clockwork.NewRealClock())))
		},
	}
}

func engineCommand() *cli.Command {
	return &cli.Command{
		Name:        "engine",
		Usage:       "run a stand-in for a model engine",
		Description: "Example: dotterelflow-standin engine --listen 127.0.0.1:21001 --token-time 5ms",
		Flags: []cli.Flag{
			listenFlag("127.0.0.1:21001"),
			&cli.DurationFlag{Name: "token-time", Value: time.Millisecond, Usage: "time between output tokens"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			return serve(ctx, cmd, engine.NewServer(engine.Options{TokenTime: cmd.Duration("token-time")}))
		},
	}
}

func serviceCommand() *cli.Command {
	return &cli.Command{
		Name:        "service",
		Usage:       "run a stand-in for a plain application service",
		Description: "Example: dotterelflow-standin service --listen 127.0.0.1:21101",
		Flags:       []cli.Flag{listenFlag("127.0.0.1:21101")},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			return serve(ctx, cmd, &service.Server{})
		},
	}
}

// serve serves handler at --listen until ctx ends or the process gets SIGTERM or SIGINT. It prints the
// address that it listens on.
func serve(ctx context.Context, cmd *cli.Command, handler http.Handler) error {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()

	s, err := httpserver.Serve(cmd.String("listen"), handler)
	if err != nil {
		return err
	}

	_, _ = fmt.Fprintf(cmd.Root().Writer, "%s listens on %s\n", cmd.Name, s.Address())

	<-ctx.Done()

	return s.Close()
}
