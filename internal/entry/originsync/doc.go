// Package originsync shares between entry hosts at which software version streams are generated, so that a stream goes on
// at that version whichever host its caller comes back to (see package origins).
//
// A host that places a stream tells the hosts of its data centre that rank first for the stream by rendezvous hashing, and
// hosts of other data centres: of all of them in a small fleet, else of one, in which the host that is told passes the record
// on to the one that ranks first there. A host that has no record of a stream asks the same hosts. Records are sent as
// soon as a version is chosen, which is before the first event, and only while a service does not run one version alone.
// A host that has just started takes the records of others.
package originsync
