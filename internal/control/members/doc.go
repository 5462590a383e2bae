// Package members keeps what an entry host knows of the others: who is alive, where, with which
// configuration. It is pure state; the heartbeats that feed it are exchanged elsewhere.
package members
