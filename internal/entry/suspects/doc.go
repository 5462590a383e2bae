// Package suspects connects the quarantine of requests that crash their targets with an entry host: it
// rules on the host's requests, and is fed by the ends of their runs, load reports and peers.
package suspects
