// Package experiment implements the command experiment, which compares policies for role changes on virtual
// time and computes an upper bound on the credit that a deployment can earn.
package experiment
