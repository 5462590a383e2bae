// Package admission decides which work an entry host takes on, in what order it starts and what
// is refused at once.
//
// Work is measured in two resources, prefill tokens and decode tokens, beside the slots that
// targets have. Each urgency has a lane with a guaranteed share of all three. Within a lane,
// accounts share by start-time fair queueing on the dominant resource; patient work that nears
// the latest moment at which it can start goes ahead of ordinary work, earliest first. Work whose
// estimated wait exceeds what its deadline leaves is refused on arrival, before it costs anything.
//
// A Controller is driven by one goroutine, starts none, reads no clock and uses no randomness.
package admission
