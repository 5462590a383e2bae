// Package service is a stand-in for a plain application service, such as a booking service. It counts the executions
// of each request key. Faults make it refuse requests, answer late or lose answers.
package service
