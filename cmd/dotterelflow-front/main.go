// Command dotterelflow-front runs an entry host on the platform. It links few packages, so that its frequent starts are
// fast.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/phuslu/log"
	"github.com/urfave/cli/v3"

	"github.com/dotterelflow/dotterelflow/internal/site/logging"
	"github.com/dotterelflow/dotterelflow/internal/site/reloads"
	"github.com/dotterelflow/dotterelflow/platform/host"
	"github.com/dotterelflow/dotterelflow/platform/settings"
)

// settingsPollInterval is the time between two checks whether the settings file has changed, since the platform may
// change it without sending a signal.
const settingsPollInterval = 2 * time.Second

func main() {
	app := &cli.Command{
		Name:  "dotterelflow-front",
		Usage: "serve callers as an entry host on the platform",
		Flags: []cli.Flag{
			&cli.StringFlag{
				Name: "settings", Sources: cli.EnvVars(settings.PathVariable),
				Usage: "settings file that the platform writes",
			},
			&cli.StringFlag{Name: "log-level", Value: "info", Usage: "lowest level that is logged"},
			&cli.BoolFlag{Name: "check", Usage: "check the settings and exit"},
		},
		Commands: []*cli.Command{checkCommand()},
		Action:   run,
	}

	if err := app.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "dotterelflow-front:", err)
		os.Exit(1)
	}
}

func run(_ context.Context, c *cli.Command) error {
	path := c.String("settings")
	if path == "" {
		return errors.New("name the settings file with --settings or " + settings.PathVariable)
	}

	loaded := modTime(path)

	cfg, unusable, err := settings.Read(path, settings.Defaults())
	if err != nil {
		return err
	}

	if c.Bool("check") {
		return errors.Join(unusable...)
	}

	lines := logging.NewBoundedWriter(os.Stdout)
	defer lines.Close()

	logger := logging.NewWithWriter(lines, c.String("log-level"), cfg.Host)
	log.DefaultLogger = *logger

	logging.RedirectStandard(logger)
	logUnusable(unusable, logger)

	// A full channel takes no further signal, so a stop must not share one with reloads.
	stops := make(chan os.Signal, 1)
	signal.Notify(stops, syscall.SIGTERM, syscall.SIGINT)

	h, err := host.Start(cfg, logger, lines.Dropped)
	if err != nil {
		return err
	}

	logger.Info().Str("data-centre", string(cfg.DataCentre)).Str("callers", cfg.CallerAddress).Msg("started")

	return supervise(h, path, loaded, reloads.Signals(), stops, logger)
}

// supervise reloads the settings when a signal arrives at hangups or the file at path has another modification time than loaded, which
// it had before h was started. A signal at stops stops h, and supervise returns. It also returns the error of a listener that fails.
func supervise(h *host.Host, path string, loaded time.Time, hangups, stops <-chan os.Signal, logger *log.Logger) error {
	poll := time.NewTicker(settingsPollInterval)
	defer poll.Stop()

	for {
		select {
		case err := <-h.Failed():
			return err
		case <-poll.C:
			if now := modTime(path); now != loaded {
				loaded = now
				reload(h, path, logger)
			}
		case <-hangups:
			loaded = modTime(path)
			reload(h, path, logger)
		case s := <-stops:
			logger.Info().Str("signal", s.String()).Msg("stopping")
			err := h.Stop()
			logger.Info().Err(err).Msg("stopped")

			return err
		}
	}
}

// modTime returns the modification time of the file at path, or zero if the file cannot be examined.
func modTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}

	return info.ModTime()
}

// reload applies the settings at path to h. If they cannot be read, the present ones stay in force, and so does the present value of
// each figure that cannot be used.
func reload(h *host.Host, path string, logger *log.Logger) {
	cfg, unusable, err := settings.Read(path, h.Settings())
	if err != nil {
		logger.Error().Err(err).Msg("cannot read the settings; the present ones stay in force")

		return
	}

	logUnusable(unusable, logger)
	h.Reload(cfg)
}

// logUnusable logs the figures of the settings file that cannot be used.
func logUnusable(unusable []error, logger *log.Logger) {
	for _, err := range unusable {
		logger.Error().Err(err).Msg("a figure of the settings cannot be used")
	}
}
