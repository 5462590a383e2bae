// Package experiment implements the command experiment, which measures decisions on virtual time and
// computes bounds on what a deployment can earn.
package experiment
