// Package authority decides which entry host of a data centre may give orders.
//
// One lease object per data centre in the platform's object API names the holder. It is taken and
// renewed by conditional update and carries a fencing number that only grows. Machine holds the
// decisions and does no I/O; Runner drives a Machine from one goroutine.
package authority
