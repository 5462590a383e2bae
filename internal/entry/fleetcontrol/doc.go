// Package fleetcontrol runs the control duties of an entry host: it takes part in the lease of its data
// centre, and as its holder sends orders to the engines there and carries out planned changes. Every
// entry host runs it; the lease decides which one acts.
package fleetcontrol
