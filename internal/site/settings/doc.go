// Package settings reads an entry host's settings: its id, data centre, addresses and peers.
//
// The file is strict YAML. An unknown key, a missing address, a host name in place of an IP address and an invalid
// duration are rejected with file, line and reason.
package settings
