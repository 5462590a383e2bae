// Package document reads operators' documents and renders them to the configuration in force.
//
// A document defines the deployment's weights, templates with typed parameters, client accounts
// made from the templates, and targets. Values keep the line that they were read from, so that an error
// names file, line and reason. Documents are plain values: only Load does I/O.
package document
