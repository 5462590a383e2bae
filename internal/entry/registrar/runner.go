// Package registrar keeps the register of software versions in the platform's store (see package origins), so that hosts which start after all
// others were killed know at which version the streams began that callers take up.
package registrar

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/phuslu/log"

	"github.com/dotterelflow/dotterelflow/internal/control/catalog"
	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/control/fleet"
	"github.com/dotterelflow/dotterelflow/internal/control/origins"
	"github.com/dotterelflow/dotterelflow/internal/control/ticker"
	"github.com/dotterelflow/dotterelflow/internal/wire/platform"
)

const (
	stepInterval = 200 * time.Millisecond
	// firstInterval replaces stepInterval until the register is read, as streams that callers take up are refused until then.
	firstInterval = 20 * time.Millisecond
	// storeTimeout bounds a call to the store, which ends sooner unless its answer goes on arriving.
	storeTimeout = 2 * time.Second
)

// Key is the key of the register in the store.
const Key = platform.Key("dotterelflow-versions/streams")

// Store is the part of the platform's object API that the register needs.
type Store interface {
	Get(ctx context.Context, key platform.Key) (platform.Object, error)
	Put(ctx context.Context, key platform.Key, expect platform.Version, value []byte) (platform.Version, error)
	// Era returns the latest era of the store that an answer has stated.
	Era() uint64
}

// Options configure Start. All fields but Clock and Log are required.
type Options struct {
	Clock      clockwork.Clock // nil means the real clock
	Log        *log.Logger     // nil means the default logger
	Store      Store
	Catalog    func() *catalog.Catalog // returns the configuration in force, nil before the first one
	Fleet      func() *fleet.Snapshot
	UpToDate   func() bool                                    // whether Fleet has all versions that other hosts know of
	Life       func(service entity.ServiceName) time.Duration // how long callers may take up the streams of a service
	History    *origins.History
	Turn       func() int // number of hosts that write before this one
	FirstStart bool       // the whole system starts for the first time
}

// Runner reads and writes the register in the background. Its methods are safe for concurrent use.
type Runner struct {
	opts      Options
	registrar *origins.Registrar
	unlisted  atomic.Pointer[map[entity.ServiceName][]entity.SoftwareVersion]
	several   atomic.Pointer[map[entity.ServiceName]bool]
	done      chan struct{}
}

// New returns a Runner, which does nothing before Start.
func New(opts Options) *Runner {
	if opts.Clock == nil {
		opts.Clock = clockwork.NewRealClock()
	}

	if opts.Log == nil {
		opts.Log = &log.DefaultLogger
	}

	r := &Runner{opts: opts, done: make(chan struct{})}
	r.registrar = origins.NewRegistrar(origins.RegistrarOptions{FirstStart: opts.FirstStart, Life: opts.Life, Only: r.adopt})

	return r
}

// Start begins to keep the register, until ctx ends.
func (r *Runner) Start(ctx context.Context) {
	go func() {
		defer close(r.done)

		first, read := context.WithCancel(ctx)
		ticker.Run(first, r.opts.Clock, firstInterval, func(ctx context.Context) {
			if r.step(ctx); r.registrar.Heard() {
				read()
			}
		})
		read()

		ticker.Run(ctx, r.opts.Clock, stepInterval, r.step)
	}()
}

// Done returns a channel that is closed once the Runner has ended.
func (r *Runner) Done() <-chan struct{} { return r.done }

// Unlisted returns the versions of service that the register does not list yet.
func (r *Runner) Unlisted(service entity.ServiceName) []entity.SoftwareVersion {
	if list := r.unlisted.Load(); list != nil {
		return (*list)[service]
	}

	return nil
}

// Several reports whether service has run several versions lately.
func (r *Runner) Several(service entity.ServiceName) bool {
	list := r.several.Load()

	return list != nil && (*list)[service]
}

// step performs the action that is due.
func (r *Runner) step(ctx context.Context) {
	now := r.opts.Clock.Now()
	in := origins.RegistrarInput{Versions: r.versions(), Current: r.opts.UpToDate(), Turn: r.opts.Turn, Era: r.opts.Store.Era()}

	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()

	switch a := r.registrar.Tick(now, in).(type) {
	case origins.ReadRegister:
		register, version, err := r.read(ctx)
		r.registrar.HandleRead(r.opts.Clock.Now(), register, version, err)

		if err != nil {
			r.opts.Log.Warn().Err(err).Msg("cannot read the versions at which streams began")
		}
	case origins.WriteRegister:
		r.write(ctx, a)
	}

	unlisted := r.registrar.Unlisted(r.opts.Clock.Now())
	r.unlisted.Store(&unlisted)

	several := r.registrar.Several()
	r.several.Store(&several)
}

// versions returns the versions of the targets of each service whose streams callers take up.
func (r *Runner) versions() map[entity.ServiceName][]entity.SoftwareVersion {
	all, streams := r.opts.Fleet().Versions(), map[entity.ServiceName][]entity.SoftwareVersion{}

	for _, s := range r.opts.Catalog().Services() {
		if versions := all[s.Name]; s.Engine != nil && len(versions) > 0 {
			streams[s.Name] = versions
		}
	}

	return streams
}

func (r *Runner) read(ctx context.Context) (origins.Register, platform.Version, error) {
	var register origins.Register

	o, err := r.opts.Store.Get(ctx, Key)
	if err != nil || o.Version.Revision() == 0 {
		return register, o.Version, err
	}

	if err := json.Unmarshal(o.Value, &register); err != nil {
		// Another writer's object lists nothing. It is replaced once this host has seen all versions by itself.
		r.opts.Log.Warn().Err(err).Msg("the versions at which streams began cannot be decoded")

		return origins.Register{Era: origins.NoEra}, o.Version, nil
	}

	return register, o.Version, nil
}

func (r *Runner) write(ctx context.Context, w origins.WriteRegister) {
	value, err := json.Marshal(w.Register)
	if err != nil {
		r.opts.Log.Error().Err(err).Msg("cannot encode the versions at which streams began")

		return
	}

	version, err := r.opts.Store.Put(ctx, Key, w.Expect, value)
	r.registrar.HandleWrite(r.opts.Clock.Now(), w, version, err)

	if err != nil {
		r.opts.Log.Info().Err(err).Msg("versions at which streams began not recorded")

		return
	}

	r.opts.Log.Info().RawJSON("register", value).Msg("versions at which streams began recorded")
}

// adopt tells the history of a version that all streams of service have which began before now.
func (r *Runner) adopt(now time.Time, service entity.ServiceName, version entity.SoftwareVersion) {
	r.opts.Log.Info().Str("service", string(service)).Str("version", string(version)).Msg("all streams began at one version")
	r.opts.History.Adopt(now, service, version, r.opts.Life(service))
}
