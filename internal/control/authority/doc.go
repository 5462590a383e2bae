// Package authority elects, by a lease, the entry host of a data centre that may send orders.
//
// One lease object per data centre in the platform's object API names the holder. It is taken and
// renewed by conditional update and contains a fencing number that only grows. Machine makes the
// decisions and does no I/O; Runner drives a Machine from one goroutine.
package authority
