// Package settings reads an entry host's settings: its id, data centre, addresses, peers, operator key, log level and
// timeouts.
//
// The file is strict YAML. An unknown key, a missing address, a host name in place of an IP address and an invalid
// duration are rejected with file, line and reason.
package settings
