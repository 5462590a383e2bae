package origins_test

import (
	"flag"
	"fmt"
	"maps"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/control/origins"
	"github.com/dotterelflow/dotterelflow/internal/wire/platform"
)

const (
	registerStep = 200 * time.Millisecond
	streamsOf    = entity.ServiceName("s")
)

func TestMain(m *testing.M) {
	flag.Parse()
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.checks", "200")
	os.Exit(m.Run())
}

// registerHost is a host with a Registrar, which learns of versions and begins streams.
type registerHost struct {
	*origins.Registrar
	history *origins.History
	began   time.Duration // since when it observes
	seenAt  map[entity.SoftwareVersion]time.Duration
	turn    int
	lists   bool                   // it has a list of targets, of which the first one comes from the store or another host
	only    entity.SoftwareVersion // adopted at its first read
	knows   bool
}

// registerStore is the store with the register, and its copies of each step.
type registerStore struct {
	register origins.Register
	version  platform.Version
	away     bool
	calls    int
	copies   []registerCopy
}

type registerCopy struct {
	register origins.Register
	revision uint64
}

// registerWorld is a fleet of hosts, one service and one store, in virtual time.
type registerWorld struct {
	t          require.TestingT
	now        time.Duration
	firstStart bool
	hosts      []*registerHost
	versions   []entity.SoftwareVersion
	visible    []entity.SoftwareVersion // versions in the last list of targets that the store has given
	store      registerStore
	lastBegan  map[entity.SoftwareVersion]time.Duration // when the last stream of each version began
	lost       map[entity.SoftwareVersion]time.Duration // the same, of streams whose records went with all hosts
}

func newRegisterWorld(t require.TestingT, hosts int, firstStart bool, versions ...entity.SoftwareVersion) *registerWorld {
	w := &registerWorld{t: t, versions: versions, lastBegan: map[entity.SoftwareVersion]time.Duration{}, firstStart: firstStart}
	w.store.version = platform.VersionAt(1, 0)
	w.restart(hosts)
	w.firstStart = false

	return w
}

func (w *registerWorld) clock() time.Time { return time.Unix(1_000_000, 0).Add(w.now) }

func registerLife(entity.ServiceName) time.Duration { return origins.Lifetime }

// restart kills all hosts and starts n new ones.
func (w *registerWorld) restart(n int) {
	w.hosts, w.lost = nil, maps.Clone(w.lastBegan)

	for i := range n {
		w.startHost(i)
	}
}

func (w *registerWorld) startHost(turn int) *registerHost {
	h := &registerHost{history: origins.NewHistory(), began: w.now, seenAt: map[entity.SoftwareVersion]time.Duration{}, turn: turn}
	h.Registrar = origins.NewRegistrar(origins.RegistrarOptions{
		FirstStart: w.firstStart, Life: registerLife,
		Only: func(now time.Time, service entity.ServiceName, version entity.SoftwareVersion) {
			h.only, h.knows = version, true
			h.history.Adopt(now, service, version, origins.Lifetime)

			for other, at := range w.lost {
				if other != version && w.now-at < origins.Lifetime {
					require.Failf(w.t, "a wrong version", "at %s a host takes all streams for %s; one of %s began at %s", w.now, version, other, at)
				}
			}
		},
	})
	w.hosts = append(w.hosts, h)

	return h
}

// drill brings the store back from its copy of the given age, in the next era.
func (w *registerWorld) drill(age time.Duration) {
	s := &w.store

	c := registerCopy{s.register, s.version.Revision()}
	if n := len(s.copies); n > 0 {
		c = s.copies[max(n-1-int(age/registerStep), 0)]
	}

	s.register, s.version, s.copies = c.register, platform.VersionAt(s.version.Era()+1, c.revision), nil
}

func (w *registerWorld) run(d time.Duration) {
	for end := w.now + d; w.now < end; {
		w.now += registerStep
		w.store.copies = append(w.store.copies, registerCopy{w.store.register, w.store.version.Revision()})

		if !w.store.away {
			w.visible = w.versions
		}

		for _, h := range w.hosts {
			w.step(h)
		}
	}
}

// step lets h learn of the versions, perform its action and begin a stream at each version that it may choose.
func (w *registerWorld) step(h *registerHost) {
	h.lists = h.lists || !w.store.away || slices.ContainsFunc(w.hosts, func(o *registerHost) bool { return o.lists })
	if !h.lists {
		return
	}

	versions := map[entity.ServiceName][]entity.SoftwareVersion{streamsOf: w.visible}
	h.history.Observe(w.clock(), versions, true, registerLife)

	for _, v := range w.visible {
		if _, ok := h.seenAt[v]; !ok {
			h.seenAt[v] = w.now
		}
	}

	in := origins.RegistrarInput{Versions: versions, Current: true, Turn: func() int { return h.turn }}
	if !w.store.away {
		in.Era = w.store.version.Era()
	}

	switch a := h.Tick(w.clock(), in).(type) {
	case origins.ReadRegister:
		w.store.calls++

		if w.store.away {
			h.HandleRead(w.clock(), origins.Register{}, 0, platform.ErrUnavailable)
		} else {
			h.HandleRead(w.clock(), w.store.register, w.store.version, nil)
		}
	case origins.WriteRegister:
		w.store.calls++
		version, err := w.write(a)
		h.HandleWrite(w.clock(), a, version, err)
	}

	allowed := w.allowed(h)
	for _, v := range allowed {
		w.lastBegan[v] = w.now
	}
}

func (w *registerWorld) write(a origins.WriteRegister) (platform.Version, error) {
	s := &w.store

	switch {
	case s.away:
		return 0, platform.ErrUnavailable
	case a.Expect.Revision() != s.version.Revision():
		return 0, platform.ErrConflict
	}

	s.register = a.Register
	s.version++

	if a.Expect.Era() != s.version.Era() {
		return 0, platform.ErrUnknown
	}

	return s.version, nil
}

// allowed returns the versions at which h begins streams, as package relay chooses them: new and unlisted ones only if there are no others.
func (w *registerWorld) allowed(h *registerHost) []entity.SoftwareVersion {
	unlisted := h.Unlisted(w.clock())[streamsOf]

	for _, avoided := range [][]entity.SoftwareVersion{slices.Concat(h.history.New(w.clock(), streamsOf), unlisted), unlisted} {
		list := slices.DeleteFunc(slices.Clone(w.visible), func(v entity.SoftwareVersion) bool { return slices.Contains(avoided, v) })
		if len(list) > 0 {
			return list
		}
	}

	return w.visible
}

// TestHostsThatStartAfterAllWereKilledKnowTheOnlyVersion guards against streams that nobody can take up for a minute after all hosts were
// killed, though one version alone has ever served.
func TestHostsThatStartAfterAllWereKilledKnowTheOnlyVersion(t *testing.T) {
	for name, firstStart := range map[string]bool{"since the first start": true, "an upgrade to hosts with a register": false} {
		t.Run(name, func(t *testing.T) {
			w := newRegisterWorld(t, 4, firstStart, "v1")
			w.run(10 * time.Second)

			if !firstStart {
				w.run(origins.Lifetime)
			}

			w.restart(4)
			w.run(registerStep)

			for _, h := range w.hosts {
				require.Equal(t, entity.SoftwareVersion("v1"), h.only)

				v, ok := h.history.Before(w.clock(), streamsOf)
				require.True(t, ok)
				require.Equal(t, entity.SoftwareVersion("v1"), v)
			}
		})
	}
}

// TestNoVersionIsTakenForTheOnlyOne guards against streams of two versions after all hosts were killed: whenever the register may lack a
// version, a host that starts does not rely on it.
func TestNoVersionIsTakenForTheOnlyOne(t *testing.T) {
	tests := map[string]func(w *registerWorld){
		"two versions serve": func(w *registerWorld) {
			w.versions = []entity.SoftwareVersion{"v1", "v2"}
			w.run(10 * time.Second)
		},
		"the second version has just gone": func(w *registerWorld) {
			w.versions = []entity.SoftwareVersion{"v1", "v2"}
			w.run(10 * time.Second)

			w.versions = []entity.SoftwareVersion{"v1"}
			w.run(30 * time.Second)
		},
		"the store has lost the second version": func(w *registerWorld) {
			w.versions = []entity.SoftwareVersion{"v1", "v2"}
			w.run(5 * time.Second)
			w.drill(8 * time.Second)
		},
		"no register": func(w *registerWorld) {
			w.store.register, w.store.version = origins.Register{}, platform.VersionAt(2, 0)
		},
	}

	for name, event := range tests {
		t.Run(name, func(t *testing.T) {
			w := newRegisterWorld(t, 4, true, "v1")
			w.run(10 * time.Second)
			event(w)
			w.restart(4)
			w.run(10 * time.Second)

			for _, h := range w.hosts {
				require.False(t, h.knows)
			}
		})
	}
}

// TestRegisterFollowsTheVersions checks that a version which has gone leaves the register, and that a drill is mended by hosts that know.
func TestRegisterFollowsTheVersions(t *testing.T) {
	w := newRegisterWorld(t, 4, true, "v1")
	w.run(10 * time.Second)

	w.versions = []entity.SoftwareVersion{"v1", "v2"}
	w.run(5 * time.Second)
	require.Equal(t, []entity.SoftwareVersion{"v1", "v2"}, w.store.register.Services[streamsOf])

	w.versions = []entity.SoftwareVersion{"v2"}
	w.run(2*origins.Lifetime + time.Second)
	require.Equal(t, []entity.SoftwareVersion{"v2"}, w.store.register.Services[streamsOf])

	w.drill(2*origins.Lifetime + 4*time.Second)
	require.Equal(t, []entity.SoftwareVersion{"v1", "v2"}, w.store.register.Services[streamsOf])
	w.run(5 * time.Second)
	require.Equal(t, w.store.version.Era(), w.store.register.Era)
	w.run(2*origins.Lifetime + time.Second)
	require.Equal(t, []entity.SoftwareVersion{"v2"}, w.store.register.Services[streamsOf])

	w.restart(4)
	w.run(time.Second)
	require.Equal(t, entity.SoftwareVersion("v2"), w.hosts[3].only)
}

// TestRegisterCostsNoCallsInCalm bounds the calls to the store: one for each start of a host and each change of the versions, and none else.
func TestRegisterCostsNoCallsInCalm(t *testing.T) {
	for _, hosts := range []int{8, 89, 330} {
		t.Run(fmt.Sprint(hosts), func(t *testing.T) {
			w := newRegisterWorld(t, hosts, true, "v1")
			w.run(10 * time.Second)
			require.LessOrEqual(t, w.store.calls, 3*hosts, "the first start")

			w.store.calls = 0
			w.run(5 * time.Minute)
			require.Zero(t, w.store.calls)

			w.versions = []entity.SoftwareVersion{"v1", "v2"}
			w.run(10 * time.Second)
			t.Logf("%d hosts: %d calls after a new version", hosts, w.store.calls)
			require.LessOrEqual(t, w.store.calls, 2*hosts)

			w.store.calls = 0
			w.restart(hosts)
			w.run(10 * time.Second)
			require.LessOrEqual(t, w.store.calls, hosts, "all hosts start")
		})
	}
}

// TestHostsThatStartTakeNoWrongVersion plays random releases, kills of some or all hosts, drills and short outages of the store.
func TestHostsThatStartTakeNoWrongVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newRegisterWorld(t, 3, rapid.Bool().Draw(t, "first start"), "v1")
		released := 1

		t.Repeat(map[string]func(*rapid.T){
			"run": func(t *rapid.T) { w.run(time.Duration(rapid.IntRange(1, 400).Draw(t, "steps")) * registerStep) },
			"release": func(*rapid.T) {
				if len(w.versions) < 3 {
					released++
					w.versions = append(slices.Clone(w.versions), entity.SoftwareVersion(fmt.Sprint("v", released)))
				}
			},
			"end": func(t *rapid.T) {
				// A version ends once another one has served for a while.
				if len(w.versions) > 1 {
					w.run(8 * time.Second)

					i := rapid.IntRange(0, len(w.versions)-1).Draw(t, "version")
					w.versions = slices.Delete(slices.Clone(w.versions), i, i+1)
				}
			},
			"drill": func(t *rapid.T) {
				w.drill(time.Duration(rapid.IntRange(0, 40).Draw(t, "age")) * registerStep)
			},
			"outage": func(t *rapid.T) {
				w.store.away = true
				w.run(time.Duration(rapid.IntRange(1, 20).Draw(t, "steps")) * registerStep)
				w.store.away = false
			},
			"kill all": func(*rapid.T) { w.restart(3) },
			"kill one": func(t *rapid.T) {
				i := rapid.IntRange(0, len(w.hosts)-1).Draw(t, "host")
				w.hosts = slices.Delete(w.hosts, i, i+1)
				w.startHost(i)
			},
		})
	})
}
