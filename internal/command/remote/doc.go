// Package remote holds what the operators' commands share: the connection to an entry host, the
// output formats and the exit codes.
package remote
