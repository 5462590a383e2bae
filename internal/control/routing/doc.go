// Package routing chooses the target of each request.
//
// The control goroutine builds a View on each tick from the configuration, the load reports and
// the states of the targets. Request goroutines call View.Pick, which takes no lock of the control
// state and allocates nothing. Two tables are shared between ticks: a Ledger of the host's own work
// in flight, which compensates for the lag of load reports, and Prefixes, which estimates where a
// prompt prefix is cached.
//
// Pick compares a few randomly drawn candidates instead of all targets, since many entry hosts that
// see the same outdated report would otherwise choose the same target.
package routing
