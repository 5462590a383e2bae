// Package forwarding serves a caller's request through another entry host. A host that reaches no target of a service hands
// the request to one that does, which serves it like that of a caller of its own, and never hands it on.
package forwarding
