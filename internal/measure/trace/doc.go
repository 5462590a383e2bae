// Package trace generates request traces: the arrivals, and the operations on the fleet, of a deployment over some
// time, from a seed.
//
// A Trace is plain data: package experiment runs it on virtual time, and the load generator replays it over real
// connections. The sizes, delays and request kinds of its deployments are those that the two users state. Rates and
// token counts are assumptions, chosen so that the fleet has spare capacity in calm times and can serve a wave only
// with the engines in suitable roles.
package trace
