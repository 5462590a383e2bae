// Package memory gives a test the memory of an entry host and measures what its process holds.
package memory

import (
	"runtime"
	"runtime/debug"
	"time"
)

const (
	// HostBytes is the memory of the smallest entry host.
	HostBytes = 184 << 20

	limitPercent   = 60 // soft limit of the Go runtime in percent of the host's memory, as a host sets it
	sampleInterval = 2 * time.Millisecond
)

// Peaks are the largest sizes of the memory of this process, in bytes.
type Peaks struct {
	Heap  uint64 // objects, with those that are no longer in use but were not collected yet
	Total uint64 // memory held from the system
}

// LimitAsHost sets the soft memory limit of this process as a host with HostBytes sets it, until the returned function
// is called.
func LimitAsHost() (restore func()) {
	old := debug.SetMemoryLimit(HostBytes * limitPercent / 100)

	return func() { debug.SetMemoryLimit(old) }
}

// Sample releases unused memory and then samples the memory of this process until the returned function is called, which
// returns the peaks.
func Sample() (stop func() Peaks) {
	var (
		p       Peaks
		ended   = make(chan struct{})
		sampled = make(chan struct{})
	)

	runtime.GC()
	debug.FreeOSMemory()

	go func() {
		defer close(sampled)

		for {
			var m runtime.MemStats

			runtime.ReadMemStats(&m)
			p.Heap, p.Total = max(p.Heap, m.HeapAlloc), max(p.Total, m.Sys-m.HeapReleased)

			select {
			case <-ended:
				return
			case <-time.After(sampleInterval):
			}
		}
	}()

	return func() Peaks {
		close(ended)
		<-sampled

		return p
	}
}
