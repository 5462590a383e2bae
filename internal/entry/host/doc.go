// Package host assembles the components of an entry host and runs them.
package host
