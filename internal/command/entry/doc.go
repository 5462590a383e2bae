// Package entry holds the command that runs an entry host.
package entry
