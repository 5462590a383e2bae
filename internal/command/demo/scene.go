package demo

import (
	"io"
	"path/filepath"
	"strings"

	"github.com/zeebo/errs"

	"github.com/dotterelflow/dotterelflow/internal/control/document"
	"github.com/dotterelflow/dotterelflow/internal/control/table"
	"github.com/dotterelflow/dotterelflow/internal/entry/host"
	"github.com/dotterelflow/dotterelflow/internal/site/logging"
	"github.com/dotterelflow/dotterelflow/internal/standin/engine"
	"github.com/dotterelflow/dotterelflow/internal/standin/fleet"
	"github.com/dotterelflow/dotterelflow/internal/standin/service"
)

const (
	loopback    = "127.0.0.1:0"
	enginesUsed = 2
	hostsUsed   = 2
)

// scene is one deployment, cut down to what the demo runs.
type scene struct {
	name    string
	config  table.Config
	servers []*fleet.Server
	hosts   []*host.Host
}

// fixed is a configuration that never changes.
type fixed struct{ snapshot *table.Snapshot }

func (f fixed) Current() *table.Snapshot { return f.snapshot }

func newScene(name, dir string) (*scene, error) {
	files, err := filepath.Glob(filepath.Join(dir, "*.yaml"))
	if err != nil || len(files) == 0 {
		return nil, Error.New("no example configuration in %s; run the demo from the repository's root or set --examples", dir)
	}

	doc, err := document.Load(files...)
	if err != nil {
		return nil, Error.Wrap(err)
	}

	config, err := doc.Config()
	if err != nil {
		return nil, Error.Wrap(err)
	}

	s := &scene{name: name, config: config}

	if err := s.start(); err != nil {
		return nil, errs.Combine(err, s.close())
	}

	return s, nil
}

// start runs two engines, one service and two entry hosts, and leaves the other targets out.
func (s *scene) start() error {
	var (
		targets []table.Target
		engines int
		service int
	)

	for _, t := range s.config.Targets {
		if (t.Type == table.Engine && engines == enginesUsed) || (t.Type == table.Service && service == 1) {
			continue
		}

		if t.Type == table.Engine {
			engines++
		} else {
			service++
		}

		server, err := startTarget(t)
		if err != nil {
			return err
		}

		s.servers = append(s.servers, server)
		t.Address = server.Address()
		targets = append(targets, t)
	}

	s.config.Targets = targets

	return s.startHosts(fixed{table.NewSnapshot(s.config)})
}

func startTarget(t table.Target) (*fleet.Server, error) {
	if t.Type == table.Engine {
		return fleet.Serve(loopback, engine.NewServer(engine.Options{}))
	}

	return fleet.Serve(loopback, &service.Server{})
}

func (s *scene) startHosts(config host.Configuration) error {
	for range hostsUsed {
		h, err := host.Start(host.Options{
			DataCentre: s.config.Targets[0].DataCentre, CallerAddress: loopback, Configuration: config,
			Log: logging.New(io.Discard, "info", s.name),
		})
		if err != nil {
			return err
		}

		s.hosts = append(s.hosts, h)
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
