// Package balance decides on role changes of engines in a running entry host. It meters the demand
// that arrives, adds what peers tell of theirs, and declares a planned role change when the host
// holds the authority of its data centre and the change pays.
package balance
