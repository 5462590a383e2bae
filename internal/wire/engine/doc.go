// Package engine is the client of the model engines. It sends completion requests over HTTP, in the form that model
// clients use, and reads the answers as server-sent events. It also makes the calls that only engines have: cancel,
// load, state and orders.
//
// Every event of an answer carries the request id in its data and its sequence number as the event id. From these
// the client detects late, duplicated and missing events, and events of another request.
package engine
