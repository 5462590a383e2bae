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
	"github.com/dotterelflow/dotterelflow/internal/control/table"
	"github.com/dotterelflow/dotterelflow/internal/entry/host"
	"github.com/dotterelflow/dotterelflow/internal/site/logging"
	"github.com/dotterelflow/dotterelflow/internal/standin/engine"
	"github.com/dotterelflow/dotterelflow/internal/standin/fleet"
	standinplatform "github.com/dotterelflow/dotterelflow/internal/standin/platform"
	"github.com/dotterelflow/dotterelflow/internal/standin/service"
	"github.com/dotterelflow/dotterelflow/internal/wire/platform"
)

const (
	loopback    = "127.0.0.1:0"
	enginesUsed = 2
	operatorKey = "operator-key-of-the-demo"
	readyPoll   = 20 * time.Millisecond
	firstBeats  = 500 * time.Millisecond
)

// scene is one deployment, cut down to what the demo runs.
type scene struct {
	name    string
	config  table.Config
	servers []*fleet.Server
	hosts   []*host.Host
}

func newScene(ctx context.Context, name, dir string) (*scene, error) {
	files, err := filepath.Glob(filepath.Join(dir, "*.yaml"))
	if err != nil || len(files) == 0 {
		return nil, Error.New("no example configuration in %s; run the demo from the repository's root or set --examples", dir)
	}

	doc, err := document.Load(files...)
	if err != nil {
		return nil, Error.Wrap(err)
	}

	s := &scene{name: name}

	if err := s.start(ctx, doc); err != nil {
		return nil, errs.Combine(err, s.close())
	}

	return s, nil
}

// start runs the platform, the targets and the entry hosts, and applies the configuration.
func (s *scene) start(ctx context.Context, doc document.Document) error {
	platformServer, err := s.serve(standinplatform.Handler(standinplatform.NewStore(clockwork.NewRealClock())))
	if err != nil {
		return err
	}

	if doc.Targets, err = s.startTargets(doc.Targets); err != nil {
		return err
	}

	if s.config, err = doc.Config(); err != nil {
		return Error.Wrap(err)
	}

	client := platform.NewClient(platformServer.Address(), platform.Options{Name: "demo"})

	if err := apply(ctx, client, doc); err != nil {
		return err
	}

	return s.startHosts(ctx, client)
}

func (s *scene) serve(handler http.Handler) (*fleet.Server, error) {
	server, err := fleet.Serve(loopback, handler)
	if err != nil {
		return nil, err
	}

	s.servers = append(s.servers, server)

	return server, nil
}

// startTargets runs an engine in each of two data centres and one service, and leaves the other
// targets out.
func (s *scene) startTargets(all []document.Target) ([]document.Target, error) {
	var used []document.Target

	centres := map[string]bool{}
	services := 0

	for _, t := range all {
		isEngine := t.Type == "engine"
		if isEngine && (centres[t.DataCentre] || len(centres) == enginesUsed) || !isEngine && services == 1 {
			continue
		}

		var handler http.Handler = &service.Server{}

		if isEngine {
			centres[t.DataCentre] = true
			handler = engine.NewServer(engine.Options{})
		} else {
			services++
		}

		server, err := s.serve(handler)
		if err != nil {
			return nil, err
		}

		t.Address = document.NewText(server.Address())
		used = append(used, t)
	}

	return used, nil
}

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

// startHosts runs an entry host in each data centre that has an engine, and waits until they are ready.
func (s *scene) startHosts(ctx context.Context, client *platform.Client) error {
	var seeds []string

	for _, t := range s.config.Targets {
		if t.Type != table.Engine {
			continue
		}

		h, err := host.Start(host.Options{
			ID: table.HostID(uuid.NewString()), DataCentre: t.DataCentre, Platform: client, Peers: seeds,
			CallerAddress: loopback, PeerAddress: loopback, OperatorAddress: loopback,
			OperatorKeyHash: table.HashKey(operatorKey),
			Log:             logging.New(io.Discard, "info", s.name),
		})
		if err != nil {
			return err
		}

		s.hosts = append(s.hosts, h)
		seeds = append(seeds, h.PeerAddress())
	}

	return s.ready(ctx)
}

func (s *scene) ready(ctx context.Context) error {
	for _, h := range s.hosts {
		for h.Ready() != nil {
			select {
			case <-ctx.Done():
				return Error.New("an entry host did not become ready: %w", h.Ready())
			case <-time.After(readyPoll):
			}
		}
	}

	// The hosts hear of each other with their first heartbeats.
	select {
	case <-ctx.Done():
	case <-time.After(firstBeats):
	}

	return nil
}

func (s *scene) addresses() string {
	var addresses []string
	for _, h := range s.hosts {
		addresses = append(addresses, h.CallerAddress())
	}

	return strings.Join(addresses, ", ")
}

func (s *scene) close() error {
	var group errs.Group

	for _, h := range s.hosts {
		group.Add(h.Stop())
	}

	for _, server := range s.servers {
		group.Add(server.Close())
	}

	return group.Err()
}
