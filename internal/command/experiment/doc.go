// Package experiment is the command "experiment" of dotterelflow.
package experiment
