// Package admit runs the admission controllers of an entry host, one for each model and service,
// on a single goroutine that traffic asks by message.
package admit
