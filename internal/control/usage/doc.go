// Package usage counts, by client account and by window of the time of day, the requests that began to run, and decides when the holder
// of the lease reports them to the platform, and with which figures.
//
// Clock tells the time by which requests are counted, Table has the counts of all hosts, and Reporter decides what is
// written to the store and sent to the platform. None of them does I/O.
package usage
