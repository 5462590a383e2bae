// Package fleetcontrol runs the control duties of an entry host. Each data centre has a lease, and the host that
// holds it sends orders to the engines there and carries out planned changes. Every entry host runs this package; the
// lease decides which one acts.
package fleetcontrol
