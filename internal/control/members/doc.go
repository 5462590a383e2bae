// Package members keeps an entry host's view of the other entry hosts: which are alive, at which
// address and with which configuration. It does no I/O; package peers exchanges the heartbeats.
package members
