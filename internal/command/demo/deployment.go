package demo

import (
	"context"
	"io"
	"net/http"
	"path/filepath"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/jonboulle/clockwork"
	"github.com/zeebo/errs"

	"github.com/dotterelflow/dotterelflow/internal/control/configuration"
	"github.com/dotterelflow/dotterelflow/internal/control/document"
	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/entry/host"
	"github.com/dotterelflow/dotterelflow/internal/site/logging"
	"github.com/dotterelflow/dotterelflow/internal/standin/engine"
	"github.com/dotterelflow/dotterelflow/internal/standin/httpserver"
	standinplatform "github.com/dotterelflow/dotterelflow/internal/standin/platform"
	"github.com/dotterelflow/dotterelflow/internal/standin/service"
	"github.com/dotterelflow/dotterelflow/internal/wire/platform"
)

const (
	loopback    = "127.0.0.1:0"
	maxEngines  = 2
	operatorKey = "operator-key-of-the-demo"
	readyPoll   = 20 * time.Millisecond
)

// runningDeployment is an example deployment with the servers that the demo runs for it.
type runningDeployment struct {
	name    string
	config  entity.Config
	servers []*httpserver.Server
	hosts   []*host.Host
}

// startDeployment starts the deployment whose configuration files are in dir.
func startDeployment(ctx context.Context, name, dir string) (*runningDeployment, error) {
	files, err := filepath.Glob(filepath.Join(dir, "*.yaml"))
	if err != nil || len(files) == 0 {
		return nil, Error.New("no example configuration in %s; run the demo from the repository's root or set --examples", dir)
	}

	doc, err := document.Load(files...)
	if err != nil {
		return nil, Error.Wrap(err)
	}

	d := &runningDeployment{name: name}

	if err := d.start(ctx, doc); err != nil {
		return nil, errs.Combine(err, d.close())
	}

	return d, nil
}

// start starts the platform, the targets and the entry hosts, and applies the configuration.
func (d *runningDeployment) start(ctx context.Context, doc document.Document) error {
	platformServer, err := d.serve(standinplatform.Handler(standinplatform.NewStore(clockwork.NewRealClock())))
	if err != nil {
		return err
	}

	if doc.Targets, err = d.startTargets(doc.Targets); err != nil {
		return err
	}

	if d.config, err = doc.Config(); err != nil {
		return Error.Wrap(err)
	}

	client := platform.NewClient(platformServer.Address(), platform.Options{Name: "demo"})

	if err := apply(ctx, client, doc); err != nil {
		return err
	}

	return d.startHosts(ctx, client)
}

// serve runs handler at a free port; close stops it.
func (d *runningDeployment) serve(handler http.Handler) (*httpserver.Server, error) {
	server, err := httpserver.Serve(loopback, handler)
	if err != nil {
		return nil, err
	}

	d.servers = append(d.servers, server)

	return server, nil
}

// startTargets starts one engine in each of at most maxEngines data centres, and at most one service. It returns these
// targets with their addresses; the others are left out.
func (d *runningDeployment) startTargets(targets []document.Target) ([]document.Target, error) {
	var started []document.Target

	dataCentres := map[string]bool{}
	serviceCount := 0

	for _, t := range targets {
		isEngine := t.Type == "engine"
		if isEngine && (dataCentres[t.DataCentre] || len(dataCentres) == maxEngines) || !isEngine && serviceCount == 1 {
			continue
		}

		var handler http.Handler = &service.Server{}

		if isEngine {
			dataCentres[t.DataCentre] = true
			handler = engine.NewServer(engine.Options{})
		} else {
			serviceCount++
		}

		server, err := d.serve(handler)
		if err != nil {
			return nil, err
		}

		t.Address = document.NewText(server.Address())
		started = append(started, t)
	}

	return started, nil
}

// apply writes the configuration in doc to the platform.
func apply(ctx context.Context, client *platform.Client, doc document.Document) error {
	changes, err := configuration.ChangesOf(doc)
	if err != nil {
		return Error.Wrap(err)
	}

	_, err = configuration.NewEditor(client, clockwork.NewRealClock(), nil).Apply(ctx, configuration.Edit{
		ID: configuration.EditID(uuid.NewString()), Changes: changes,
	})

	return Error.Wrap(err)
}

// startHosts starts an entry host in each data centre that has an engine, and waits until all are ready.
func (d *runningDeployment) startHosts(ctx context.Context, client *platform.Client) error {
	var seeds []string

	for _, t := range d.config.Targets {
		if t.Type != entity.Engine {
			continue
		}

		h, err := host.Start(host.Options{
			ID: entity.HostID(uuid.NewString()), DataCentre: t.DataCentre, Platform: client, Seeds: seeds,
			CallerAddress: loopback, PeerAddress: loopback, OperatorAddress: loopback,
			OperatorKeyHash: entity.HashKey(operatorKey),
			Log:             logging.New(io.Discard, "info", d.name),
		})
		if err != nil {
			return err
		}

		d.hosts = append(d.hosts, h)
		seeds = append(seeds, h.PeerAddress())
	}

	return d.waitUntilReady(ctx)
}

// waitUntilReady waits until all entry hosts are ready. It fails if ctx ends before.
func (d *runningDeployment) waitUntilReady(ctx context.Context) error {
	for _, h := range d.hosts {
		for h.Ready() != nil {
			select {
			case <-ctx.Done():
				return Error.New("an entry host did not become ready: %w", h.Ready())
			case <-time.After(readyPoll):
			}
		}
	}

	return nil
}

func (d *runningDeployment) addresses() string {
	var addresses []string
	for _, h := range d.hosts {
		addresses = append(addresses, h.CallerAddress())
	}

	return strings.Join(addresses, ", ")
}

func (d *runningDeployment) close() error {
	var group errs.Group

	for _, h := range d.hosts {
		group.Add(h.Stop())
	}

	for _, server := range d.servers {
		group.Add(server.Close())
	}

	return group.Err()
}
