package host

import (
	"github.com/dotterelflow/dotterelflow/internal/control/members"
	"github.com/dotterelflow/dotterelflow/internal/control/table"
)

// local is what the governor asks of this host.
type local struct {
	host *Host
}

// Targets implements govern.Local.
func (l local) Targets() []table.Target {
	return l.host.targets()
}

// Live implements govern.Local.
func (l local) Live() []members.Member {
	return l.host.network.Live()
}

// Ready implements govern.Local.
func (l local) Ready() bool {
	return l.host.Ready() == nil
}

// Open implements govern.Local.
func (l local) Open() int {
	return l.host.runner.Open()
}

// InFlight implements govern.Local.
func (l local) InFlight(t table.TargetID) int {
	return l.host.router.Open(t)
}

// StopAsked implements govern.Local.
func (l local) StopAsked() {
	l.host.askOnce.Do(func() { close(l.host.asked) })
}

// StopAsked is closed when a plan says that this host may end: it has taken no new work and has
// none left.
func (h *Host) StopAsked() <-chan struct{} {
	return h.asked
}
