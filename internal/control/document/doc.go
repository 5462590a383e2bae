// Package document reads the YAML documents that operators write and renders them to a configuration.
//
// A document defines the deployment's weights, templates with typed parameters, client accounts
// made from the templates, and targets. Values keep the line that they were read from, so that an error
// names file, line and reason. Documents are plain values: only Load does I/O.
package document
