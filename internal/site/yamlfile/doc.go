// Package yamlfile reads strict YAML files: settings of an entry host and operators' documents.
//
// An unknown key, a value of the wrong type and a broken rule are refused with file, line and
// reason. Anchors, aliases, merge keys, tags and deep nesting are refused, so that the cost of a
// file is bounded by its size.
package yamlfile
