// Package govern lets an entry host hold the authority of its data centre, give orders to the
// engines there and carry out planned changes. Every entry host runs it; the lease decides which
// one acts.
package govern
