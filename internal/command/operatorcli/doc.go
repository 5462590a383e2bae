// Package operatorcli contains the code that the operators' commands share: the connection to an entry host,
// the output formats and the exit codes.
package operatorcli
