// Package answers holds the answers that an entry host is producing or has produced, so that
// several readers can follow one answer and a caller that comes back finds it.
package answers
