// Package loadreports holds the newest load report of each target. The reports are polled from the engines or received
// from peers.
package loadreports
