// Package roles decides which engines change their role (mixed, prefill or decode), and when.
//
// Demand estimates the prefill and decode tokens per second that arrive, from admitted work.
// Propose compares the goodput that a change gains over a horizon with the goodput that it costs, and
// is a pure function of its arguments. A Demand is not safe for concurrent use; it belongs to the control
// goroutine.
//
// Other data centres are only milliseconds away, so spare capacity there is used before an engine changes
// its role: gain and cost are computed over all reachable data centres. The authority of a data centre (the
// entry host that may send orders there) orders the changes of that data centre's engines.
package roles
