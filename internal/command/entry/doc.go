// Package entry implements the command entry, which runs an entry host.
package entry
