// Package engine speaks to model engines: the completion conventions of model clients over HTTP
// with server-sent events, and the engines' own calls for cancel, load, state and orders.
//
// Every event of an answer carries the request id and a sequence number as its event id, so that
// late, crossed, duplicated and missing events are told apart.
package engine
