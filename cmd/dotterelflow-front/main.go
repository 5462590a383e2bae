// Command dotterelflow-front is the entry host on the platform. It links little, since it starts often.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/phuslu/log"
	"github.com/urfave/cli/v3"

	"github.com/dotterelflow/dotterelflow/internal/site/logging"
	"github.com/dotterelflow/dotterelflow/platform/host"
	"github.com/dotterelflow/dotterelflow/platform/settings"
)

// lookEvery is the time between two looks at the settings file, which may change without a signal.
const lookEvery = 2 * time.Second

func main() {
	app := &cli.Command{
		Name:  "dotterelflow-front",
		Usage: "serve callers as an entry host on the platform",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Sources: cli.EnvVars(settings.PathVariable), Required: true, Usage: "settings file of the platform"},
			&cli.StringFlag{Name: "log-level", Value: "info", Usage: "least level that is logged"},
			&cli.BoolFlag{Name: "check", Usage: "check the settings and exit"},
		},
		Action: run,
	}

	if err := app.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "dotterelflow-front:", err)
		os.Exit(1)
	}
}

func run(_ context.Context, c *cli.Command) error {
	cfg, err := settings.Read(c.String("settings"))
	if err != nil || c.Bool("check") {
		return err
	}

	lines := logging.NewBounded(os.Stdout)
	defer lines.Close()

	logger := logging.NewWith(lines, c.String("log-level"), cfg.Host)
	log.DefaultLogger = *logger

	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)

	h, err := host.Start(cfg, logger, lines.Dropped)
	if err != nil {
		return err
	}

	logger.Info().Str("data-centre", string(cfg.DataCentre)).Str("callers", cfg.CallerAddress).Msg("started")

	return supervise(h, c.String("settings"), signals, logger)
}

// supervise runs h until it is told to stop, and takes changed settings over, with a signal or without.
func supervise(h *host.Host, path string, signals <-chan os.Signal, logger *log.Logger) error {
	looks := time.NewTicker(lookEvery)
	defer looks.Stop()

	known := modified(path)

	for {
		select {
		case err := <-h.Failed():
			return err
		case <-looks.C:
			if now := modified(path); now != known {
				known = now
				reload(h, path, logger)
			}
		case s := <-signals:
			if s == syscall.SIGHUP {
				known = modified(path)
				reload(h, path, logger)

				continue
			}

			logger.Info().Str("signal", s.String()).Msg("stopping")
			err := h.Stop()
			logger.Info().Err(err).Msg("stopped")

			return err
		}
	}
}

// modified returns when the file at path last changed; zero if that cannot be told.
func modified(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}

	return info.ModTime()
}

// reload takes the settings at path over. Settings that are not understood change nothing.
func reload(h *host.Host, path string, logger *log.Logger) {
	cfg, err := settings.Read(path)
	if err != nil {
		logger.Error().Err(err).Msg("settings not understood; those in force stay")

		return
	}

	h.Reload(cfg)
}
