// Package rolebalance changes the roles of engines to match the demand for prefill and decode work. Its Meter
// measures the demand that arrives at this host. Its Balancer declares a planned role change when this host
// holds the authority of its data centre and the role policy expects a gain from the change. Package fleetcontrol
// carries the change out. Package rolecontrol does this work in the entry hosts of package platform/host.
package rolebalance
