// Package answers holds the answers that an entry host is producing or has produced, so that several readers can
// follow one answer, and a caller that repeats a request with the same key gets the same answer.
package answers
