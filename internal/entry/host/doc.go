// Package host assembles the components of an entry host and runs them. It is the entry host of command dotterelflow;
// package platform/host is that of command dotterelflow-front.
package host
