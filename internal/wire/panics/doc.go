// Package panics turns the panic of a request into an error of that request alone, so that the process goes on with all
// others.
package panics
