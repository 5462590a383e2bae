package entry

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/google/uuid"
	"github.com/phuslu/log"
	"github.com/urfave/cli/v3"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/entry/host"
	"github.com/dotterelflow/dotterelflow/internal/site/logging"
	"github.com/dotterelflow/dotterelflow/internal/site/settings"
	"github.com/dotterelflow/dotterelflow/internal/wire/platform"
)

// Command returns the entry command.
func Command() *cli.Command {
	return &cli.Command{
		Name:  "entry",
		Usage: "run an entry host",
		Description: "Serves callers, operators and peers until SIGTERM or SIGINT; then it takes no new work, lets\n" +
			"open streams end and exits 0. It keeps nothing on disk.\n\n" +
			"Example: dotterelflow entry --settings examples/settings/entry-1.yaml\n\n" +
			"Exit codes: 0 stopped by a signal or a plan; 1 could not start, or streams were cut at the stop timeout.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Required: true, Usage: "settings `FILE` of this host"},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			s, err := settings.Load(cmd.String("settings"))
			if err != nil {
				return err
			}

			return run(ctx, s)
		},
	}
}

func run(ctx context.Context, s settings.Settings) error {
	ctx, stop := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer stop()

	// Each run joins under an id of its own, since a restarted host has lost the state that its peers expect.
	id := entity.HostID(fmt.Sprintf("%s-%.8s", s.ID, uuid.NewString()))
	logger := logging.New(os.Stderr, s.LogLevel, string(id))

	h, err := host.Start(host.Options{
		Log: logger, ID: id, DataCentre: s.DataCentre,
		CallerAddress: s.Listen.Caller, PeerAddress: s.Listen.Peer, OperatorAddress: s.Listen.Operator,
		MetricsAddress:  s.Listen.Metrics,
		OperatorKeyHash: string(s.OperatorKeyHash), Seeds: s.Peers,
		Platform: platform.NewClient(s.Platform, platform.Options{
			Timeout: time.Duration(s.PlatformTimeout), Name: s.ID, Address: s.Listen.Peer, DataCentre: string(s.DataCentre),
		}),
		StopTimeout: time.Duration(s.StopTimeout), HeaderTimeout: time.Duration(s.HeaderTimeout), IdleTimeout: time.Duration(s.IdleTimeout),
	})
	if err != nil {
		return err
	}

	logger.Info().Str("data-centre", string(s.DataCentre)).Str("caller", h.CallerAddress()).
		Str("operator", h.OperatorAddress()).Str("peer", h.PeerAddress()).Msg("entry host started")

	select {
	case <-ctx.Done():
	case <-h.StopRequested():
	}

	logger.Info().Msg("stopping")

	return stopHost(h, logger)
}

// stopHost stops h and logs whether streams were cut.
func stopHost(h *host.Host, logger *log.Logger) error {
	err := h.Stop()
	if err != nil {
		logger.Error().Err(err).Msg("stopped with streams cut")

		return err
	}

	logger.Info().Msg("stopped")

	return nil
}
