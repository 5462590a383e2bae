package host

import (
	"github.com/dotterelflow/dotterelflow/internal/control/entity"
	"github.com/dotterelflow/dotterelflow/internal/control/members"
)

// local gives the fleet controller and the role balancer access to this host's state.
type local struct {
	host *Host
}

// Targets implements fleetcontrol.Local.
func (l local) Targets() []entity.Target {
	return l.host.targets()
}

// Live implements fleetcontrol.Local.
func (l local) Live() []members.Member {
	return l.host.network.Live()
}

// Ready implements fleetcontrol.Local.
func (l local) Ready() bool {
	return l.host.Ready() == nil
}

// Open implements fleetcontrol.Local.
func (l local) Open() int {
	return l.host.runner.InFlight()
}

// InFlight implements fleetcontrol.Local.
func (l local) InFlight(t entity.TargetID) int {
	return l.host.router.InFlight(t)
}

// OnStopRequested implements fleetcontrol.Local.
func (l local) OnStopRequested() {
	l.host.stopRequestOnce.Do(func() { close(l.host.stopRequested) })
}

// StopRequested returns a channel that is closed when a plan lets this host stop: the host takes no new work and all its
// requests have ended.
func (h *Host) StopRequested() <-chan struct{} {
	return h.stopRequested
}
