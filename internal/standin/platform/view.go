package platform

import (
	"context"
	"sync"
	"time"

	"github.com/dotterelflow/dotterelflow/internal/wire/platform"
)

// Faults selects the failures that one View simulates. The zero value means none.
type Faults struct {
	Down        bool          `json:"down,omitempty"`         // each call fails without effect, and open watches deliver nothing
	Delay       time.Duration `json:"delay,omitempty"`        // delay before each call
	LoseAnswer  bool          `json:"lose-answer,omitempty"`  // each write takes effect, but its answer is lost
	LateWrite   time.Duration `json:"late-write,omitempty"`   // with LoseAnswer: delay until a Put takes effect
	SilentWatch bool          `json:"silent-watch,omitempty"` // open watches deliver nothing
	HostLag     time.Duration `json:"host-lag,omitempty"`     // minimum age of the host list entries that are visible
}

// Calls counts the calls of a View by method.
type Calls struct {
	Gets    int `json:"gets"`
	Puts    int `json:"puts"` // including deletes
	Lists   int `json:"lists"`
	Watches int `json:"watches"` // watches open now
	Hosts   int `json:"hosts"`
}

// View is one client's access to a Store. It is safe for concurrent use.
type View struct {
	store *Store

	mu     sync.Mutex
	faults Faults
	calls  Calls
}

// View returns a new View of s without faults.
func (s *Store) View() *View {
	return &View{store: s}
}

// SetFaults replaces the simulated failures.
func (v *View) SetFaults(f Faults) {
	v.mu.Lock()
	defer v.mu.Unlock()

	v.faults = f
}

// Calls returns the counts so far.
func (v *View) Calls() Calls {
	v.mu.Lock()
	defer v.mu.Unlock()

	return v.calls
}

// withholdsEvents reports whether open watches deliver nothing.
func (v *View) withholdsEvents() bool {
	v.mu.Lock()
	defer v.mu.Unlock()

	return v.faults.SilentWatch || v.faults.Down
}

// beginCall counts a call, waits for Faults.Delay and returns the Faults at the start of the call. It fails with
// platform.ErrUnavailable if the platform is down for v or ctx has ended.
func (v *View) beginCall(ctx context.Context, count func(*Calls)) (Faults, error) {
	v.mu.Lock()
	count(&v.calls)
	f := v.faults
	v.mu.Unlock()

	if f.Delay > 0 {
		select {
		case <-ctx.Done():
			return f, platform.ErrUnavailable
		case <-v.store.clock.After(f.Delay):
		}
	}

	if f.Down || ctx.Err() != nil {
		return f, platform.ErrUnavailable
	}

	return f, nil
}

// Get returns the object at key, with Version zero if there is none.
func (v *View) Get(ctx context.Context, key platform.Key) (platform.Object, error) {
	if _, err := v.beginCall(ctx, func(c *Calls) { c.Gets++ }); err != nil {
		return platform.Object{}, err
	}

	return v.store.get(key), nil
}

// Put writes value at key if the object's version is expect, and returns the new version. It fails with
// platform.ErrConflict, ErrUnavailable or ErrTooLarge if nothing was written, and with ErrUnknown if the write
// takes or may take effect.
func (v *View) Put(ctx context.Context, key platform.Key, expect platform.Version, value []byte) (platform.Version, error) {
	f, err := v.beginCall(ctx, func(c *Calls) { c.Puts++ })
	if err != nil {
		return 0, err
	}

	if len(value) > platform.MaxValueBytes {
		return 0, platform.ErrTooLarge
	}

	if f.LoseAnswer && f.LateWrite > 0 {
		v.store.clock.AfterFunc(f.LateWrite, func() { _, _ = v.store.put(key, expect, value) })

		return 0, platform.ErrUnknown
	}

	version, err := v.store.put(key, expect, value)
	if f.LoseAnswer {
		return 0, platform.ErrUnknown
	}

	return version, err
}

// Delete removes the object at key if its version is expect. It fails like Put, but never with
// platform.ErrTooLarge.
func (v *View) Delete(ctx context.Context, key platform.Key, expect platform.Version) error {
	f, err := v.beginCall(ctx, func(c *Calls) { c.Puts++ })
	if err != nil {
		return err
	}

	err = v.store.remove(key, expect)
	if f.LoseAnswer {
		return platform.ErrUnknown
	}

	return err
}

// List returns the objects whose keys start with prefix, ordered by key.
func (v *View) List(ctx context.Context, prefix string) ([]platform.Object, error) {
	if _, err := v.beginCall(ctx, func(c *Calls) { c.Lists++ }); err != nil {
		return nil, err
	}

	return v.store.list(prefix), nil
}

// Watch returns a channel that receives each later change of an object whose key starts with prefix. A deleted
// object arrives with Version zero. The channel closes when ctx ends or the receiver falls too far behind.
func (v *View) Watch(ctx context.Context, prefix string) (<-chan platform.Object, error) {
	if _, err := v.beginCall(ctx, func(c *Calls) { c.Watches++ }); err != nil {
		v.watchEnded()

		return nil, err
	}

	w := &watch{view: v, prefix: prefix, events: make(chan platform.Object, watchBuffer)}

	v.store.mu.Lock()
	v.store.watches[w] = struct{}{}
	v.store.mu.Unlock()

	context.AfterFunc(ctx, func() {
		v.store.mu.Lock()
		v.store.closeWatch(w)
		v.store.mu.Unlock()

		v.watchEnded()
	})

	return w.events, nil
}

func (v *View) watchEnded() {
	v.mu.Lock()
	defer v.mu.Unlock()

	v.calls.Watches--
}

// Hosts returns the host list, ordered by address, without entries younger than Faults.HostLag.
func (v *View) Hosts(ctx context.Context) ([]platform.Host, error) {
	f, err := v.beginCall(ctx, func(c *Calls) { c.Hosts++ })
	if err != nil {
		return nil, err
	}

	return v.store.listHosts(f.HostLag), nil
}
