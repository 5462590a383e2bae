// Package platform is the client of the platform. The platform stores versioned objects, with conditional updates
// and watches, and keeps a list of live and leaving hosts that lags behind.
//
// Each consumer declares an interface with the few methods that it calls; Client, which uses HTTP, implements all of
// these interfaces.
package platform
