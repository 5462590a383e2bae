// Package operator speaks to operators: an authenticated HTTP API with JSON bodies and
// application/problem+json errors, and its client.
//
// Every change carries an id that the client makes up, so that sending it again, after an answer
// was lost, changes nothing twice.
package operator
