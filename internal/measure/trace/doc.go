// Package trace generates the arrivals and operations of a deployment over some time from a seed.
//
// A Trace is data: the experiment runs it on virtual time, and a load generator can replay it over
// real connections. Its deployments follow the sizes, delays and request kinds that the two users
// state; rates and token counts are assumptions, chosen so that the fleet carries a calm time with
// room and a wave only with the engines in the right roles.
package trace
