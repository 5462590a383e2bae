// Package crashguard connects the quarantine of requests that crash their targets with an entry host: it
// decides which requests may run, from the ends of earlier runs, load reports and digests of peers.
package crashguard
