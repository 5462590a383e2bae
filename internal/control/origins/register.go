package origins

import (
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/wire/platform"
)

const (
	// turnDelay is the time by which a host waits for each one whose turn to write comes before, and maxTurnDelay the longest wait.
	turnDelay    = 200 * time.Millisecond
	maxTurnDelay = 2 * time.Second
	// retryInterval is the time after a call that failed until the next one.
	retryInterval = time.Second
	// listDelay is the time after which a version joins others in the register. Streams that began before are kept by then (see package
	// originsync), and hosts use no version that is newer than LearnTime.
	listDelay = time.Second
	// NoEra is the Era of a Register that cannot be read: one that no store states.
	NoEra = platform.MaxEra + 1
	// MaxListTime is the longest time for which a host uses a new version only where there is no other one, as the register does not list it.
	MaxListTime = 10 * time.Second
)

// Register lists the software versions at which the streams of each service have begun that callers may still take up. It is the value of
// an object in the platform's store, where it outlives all hosts.
//
// Hosts add a version before they use it, and a host that has not seen a version for twice the life of a stream removes it. The list is
// complete only in the era of the store in which it was written: later ones may have lost additions.
type Register struct {
	Era      uint64                                          `json:"era,omitempty"`
	Services map[entity.ServiceName][]entity.SoftwareVersion `json:"services"`
}

// Lists reports whether r lists version for service.
func (r Register) Lists(service entity.ServiceName, version entity.SoftwareVersion) bool {
	return slices.Contains(r.Services[service], version)
}

// clone returns a copy of r that shares nothing with it.
func (r Register) clone() Register {
	c := Register{Era: r.Era, Services: make(map[entity.ServiceName][]entity.SoftwareVersion, len(r.Services))}
	for service, versions := range r.Services {
		c.Services[service] = slices.Clone(versions)
	}

	return c
}

// add makes r list version for service.
func (r Register) add(service entity.ServiceName, version entity.SoftwareVersion) {
	if !r.Lists(service, version) {
		r.Services[service] = append(r.Services[service], version)
		slices.Sort(r.Services[service])
	}
}

// equal reports whether r and o list the same.
func (r Register) equal(o Register) bool {
	return r.Era == o.Era && maps.EqualFunc(r.Services, o.Services, func(a, b []entity.SoftwareVersion) bool { return slices.Equal(a, b) })
}

// ReadRegister is the action to read the register.
type ReadRegister struct{}

// WriteRegister is the action to write Register if the object in the store still has the version Expect.
type WriteRegister struct {
	Expect   platform.Version
	Register Register
}

// RegisterAction is a ReadRegister or a WriteRegister; nil means nothing to do. The caller must perform it and pass the result to HandleRead or
// HandleWrite before the next Tick.
type RegisterAction interface{ registerAction() }

func (ReadRegister) registerAction()  {}
func (WriteRegister) registerAction() {}

// RegistrarOptions configure a Registrar.
type RegistrarOptions struct {
	FirstStart bool                                           // no stream has begun before this process started
	Life       func(service entity.ServiceName) time.Duration // how long the streams of a service live
	// Only is called at the first read for each service of which all streams have the given version that began before and of which no
	// living host has a record.
	Only func(now time.Time, service entity.ServiceName, version entity.SoftwareVersion)
}

// RegistrarInput is what a Registrar needs to know at one time.
type RegistrarInput struct {
	Versions map[entity.ServiceName][]entity.SoftwareVersion // of the targets of services whose streams are taken up
	Current  bool                                            // these are all versions that any host knows of
	Turn     func() int                                      // returns the number of hosts that write before this one
	Era      uint64                                          // latest era of the store that this host has heard of
}

// serviceVersion is a software version of a service.
type serviceVersion struct {
	service entity.ServiceName
	version entity.SoftwareVersion
}

// sighting is when a version was seen first, since it had not been seen for the life of a stream, and last.
type sighting struct{ first, last time.Time }

// Registrar decides when a host reads and writes the register. It does no I/O and is not safe for concurrent use.
type Registrar struct {
	opts RegistrarOptions

	since    time.Time // since when the versions were current without a break; zero if they are not
	seen     map[serviceVersion]sighting
	known    bool // register and version are those of the last read or write
	heard    bool // the register was read once
	missing  bool // there was no register at the first read, and there may have been none before
	register Register
	version  platform.Version
	readAt   time.Time
	needed   time.Time // since when a call is needed; zero if none is
	next     time.Time // earliest time of the next action
}

// NewRegistrar returns a Registrar that has not read the register yet.
func NewRegistrar(opts RegistrarOptions) *Registrar {
	return &Registrar{opts: opts, seen: map[serviceVersion]sighting{}}
}

// Heard reports whether the register was read once.
func (r *Registrar) Heard() bool { return r.heard }

// Unlisted returns the versions that are seen and that the register may not list yet, unless they are used all the same since they could
// not be listed for MaxListTime. While this host knows of no complete register, another one may have written one with the versions that were
// there from the start.
func (r *Registrar) Unlisted(now time.Time) map[entity.ServiceName][]entity.SoftwareVersion {
	var list map[entity.ServiceName][]entity.SoftwareVersion

	complete := r.isComplete()

	for sv, s := range r.seen {
		listed := complete && r.register.Lists(sv.service, sv.version) || !complete && !s.first.After(r.since)
		if listed || now.Sub(s.first) >= MaxListTime {
			continue
		}

		if list == nil {
			list = map[entity.ServiceName][]entity.SoftwareVersion{}
		}

		list[sv.service] = append(list[sv.service], sv.version)
	}

	return list
}

// Several returns the services that have run several versions lately, by the register or as this host has seen.
func (r *Registrar) Several() map[entity.ServiceName]bool {
	all := r.register.clone()
	for sv := range r.seen {
		all.add(sv.service, sv.version)
	}

	list := map[entity.ServiceName]bool{}

	for service, versions := range all.Services {
		if len(versions) > 1 {
			list[service] = true
		}
	}

	return list
}

// isComplete reports whether the register lists all versions that were used.
func (r *Registrar) isComplete() bool {
	return r.version.Revision() != 0 && r.register.Era == r.version.Era()
}

// Tick returns the next action, or nil if there is none at now.
func (r *Registrar) Tick(now time.Time, in RegistrarInput) RegisterAction {
	if !in.Current {
		r.since = time.Time{}

		return nil
	}

	if r.since.IsZero() {
		r.since = now
	}

	for service, versions := range in.Versions {
		for _, v := range versions {
			sv := serviceVersion{service, v}

			s, ok := r.seen[sv]
			if !ok || now.Sub(s.last) >= r.opts.Life(service) {
				s.first = now
			}

			s.last = now
			r.seen[sv] = s
		}
	}

	for sv, s := range r.seen {
		if r.isGone(now, sv.service, sv.version) && !s.last.Equal(now) {
			delete(r.seen, sv)
		}
	}

	if now.Before(r.next) {
		return nil
	}

	if !r.known {
		return ReadRegister{}
	}

	wanted, outdated := r.wanted(now, in), in.Era > r.version.Era()
	if !outdated && wanted.equal(r.register) {
		r.needed = time.Time{}

		return nil
	}

	if r.needed.IsZero() {
		r.needed = now
	}

	turn := in.Turn()
	if now.Before(r.needed.Add(min(time.Duration(turn)*turnDelay, maxTurnDelay))) {
		return nil
	}

	// Another host may have written it meanwhile.
	if outdated || turn > 0 && r.readAt.Before(r.needed) {
		return ReadRegister{}
	}

	return WriteRegister{Expect: r.version, Register: wanted}
}

// wanted returns the register as it should be, as far as this host can tell.
func (r *Registrar) wanted(now time.Time, in RegistrarInput) Register {
	if !r.isComplete() {
		if !r.missing && now.Sub(r.since) < r.longestLife(in) {
			return r.register
		}

		// This host has seen all versions at which living streams have begun.
		w := r.register.clone()
		w.Era = r.version.Era()
		r.addSeen(now, w)

		return w
	}

	w := r.register.clone()
	r.addSeen(now, w)

	for service, versions := range w.Services {
		w.Services[service] = slices.DeleteFunc(versions, func(v entity.SoftwareVersion) bool { return r.isGone(now, service, v) })
		if len(w.Services[service]) == 0 {
			delete(w.Services, service)
		}
	}

	return w
}

// addSeen makes w list all versions at which this host may have begun streams that still live.
func (r *Registrar) addSeen(now time.Time, w Register) {
	for sv, s := range r.seen {
		joins := len(r.register.Services[sv.service]) > 0 && now.Sub(s.first) < listDelay
		if !joins && now.Sub(s.last) < r.opts.Life(sv.service) {
			w.add(sv.service, sv.version)
		}
	}
}

// isGone reports whether no stream that callers may still take up can have the version. Other hosts may have seen it for somewhat longer.
func (r *Registrar) isGone(now time.Time, service entity.ServiceName, version entity.SoftwareVersion) bool {
	at := r.since
	if s := r.seen[serviceVersion{service, version}]; s.last.After(at) {
		at = s.last
	}

	return now.Sub(at) >= 2*r.opts.Life(service)
}

// longestLife returns the longest life of the streams of any service.
func (r *Registrar) longestLife(in RegistrarInput) time.Duration {
	life := Lifetime
	for service := range in.Versions {
		life = max(life, r.opts.Life(service))
	}

	return life
}

// HandleRead handles the result of a ReadRegister; the version has the revision zero if there is no object.
func (r *Registrar) HandleRead(now time.Time, register Register, version platform.Version, err error) {
	if err != nil {
		r.next = now.Add(retryInterval)

		return
	}

	if version.Era() != r.version.Era() {
		r.missing = false
	}

	first := !r.heard
	r.heard, r.known, r.register, r.version, r.readAt = true, true, register, version, now

	if !first {
		return
	}

	r.missing = version.Revision() == 0 && r.opts.FirstStart

	if !r.isComplete() {
		return
	}

	for service, versions := range register.Services {
		if len(versions) == 1 {
			r.opts.Only(now, service, versions[0])
		}
	}
}

// HandleWrite handles the result of w.
func (r *Registrar) HandleWrite(now time.Time, w WriteRegister, version platform.Version, err error) {
	if err == nil {
		r.register, r.version, r.readAt, r.missing = w.Register, version, now, false

		return
	}

	// Whatever the error was, a read shows what is in the store.
	r.known = false

	if !errors.Is(err, platform.ErrConflict) && !errors.Is(err, platform.ErrUnknown) {
		r.next = now.Add(retryInterval)
	}
}
