// Package ticker runs the step of a part that owns a goroutine.
package ticker
