// Package experiment simulates a deployment to compare policies that change the roles of engines between prefill and
// decode. It replays a trace on virtual time through the decision code of the entry hosts and the engine model of the
// stand-in, once for each policy.
//
// Each entry host has its own admission controller, routing view and demand estimate and receives load reports and
// cache events with a delay. The simulation covers decisions, not the processes and the network of a cluster: hosts
// do not fail, and each message takes the deployment's fixed delay. A request that arrives in a data centre that is
// cut off is served there. Equal inputs give equal results.
package experiment
