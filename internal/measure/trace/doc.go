// Package trace generates request traces from a seed. A trace holds the requests that arrive at a deployment over some
// time, and the operations on its fleet.
//
// A Trace is plain data: package experiment runs it on virtual time, and the load generator replays it over real
// connections. The sizes, delays and request kinds of its deployments follow the requirements of the two users. Rates
// and token counts are assumptions, chosen so that the fleet has spare capacity in calm times and can serve a wave
// only with the engines in suitable roles.
package trace
