// Package document reads operators' documents and renders them to the configuration in force.
//
// A document states the deployment's weights, templates with checked parameters, client accounts
// made from them, and targets. Each value remembers its line, so that a refusal names file, line
// and reason. Documents are plain values: reading and rendering do no I/O but Load.
package document
