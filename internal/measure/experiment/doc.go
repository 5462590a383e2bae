// Package experiment runs a trace on virtual time through the decision code of the entry hosts
// and the engine model of the stand-in, under several policies of role changes side by side.
//
// Each entry host has its own admission controller, routing view and demand estimate and sees load
// reports and cache events late. It models targets at an interface, not a cluster: hosts do not
// fail, and messages take the stated delay. A request that the trace offers to a cut-off data
// centre is served there. Equal inputs give equal results.
package experiment
