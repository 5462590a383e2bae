// Package admission decides which work an entry host accepts, in which order accepted work starts, and
// what is refused on arrival.
//
// Work is measured in two resources, prefill tokens and decode tokens, and in the slots of the targets. Each
// urgency has a lane with a guaranteed share of all three. Within a lane, accounts share by start-time fair
// queueing on the dominant resource, the one that the work occupies longest. Patient work that is close to its latest
// start goes ahead of ordinary work, earliest latest start first. Work whose estimated wait would make it miss its
// deadline is refused on arrival, before it uses any capacity.
//
// A Controller is driven by one goroutine, starts none, reads no clock and uses no randomness.
package admission
