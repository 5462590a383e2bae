// Package suspects shares the quarantine of crash-making requests between the traffic of an entry
// host, its load reports and its peers.
package suspects
