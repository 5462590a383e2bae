// Package platform speaks to the platform: its object API with versions, conditional updates and
// watches, and its lagging list of live and leaving hosts.
//
// Consumers declare the few methods that they call as an interface of their own; Client is the
// HTTP adapter that satisfies all of them.
package platform
