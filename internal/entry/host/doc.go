// Package host puts the parts of an entry host together and runs them.
package host
