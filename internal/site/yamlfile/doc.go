// Package yamlfile strictly decodes YAML files: the settings of an entry host and the documents of operators.
//
// An unknown key, a value of the wrong type and a violated validation rule are rejected with file, line and reason.
// Anchors, aliases, merge keys, tags and deep nesting are also rejected, so that the size of a file bounds the cost
// of decoding it.
package yamlfile
