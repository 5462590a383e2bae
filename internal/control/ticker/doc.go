// Package ticker calls a function at a fixed interval in the caller's goroutine.
package ticker
