// Package admissionloop runs the admission controllers of an entry host, one for each model and service, on a single
// goroutine. Requests reach that goroutine through a channel.
package admissionloop
