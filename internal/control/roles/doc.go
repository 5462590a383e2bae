// Package roles decides on role changes of engines.
//
// Demand estimates the prefill and decode tokens per second that arrive, from admitted work.
// Propose weighs the goodput that a change gains over a horizon against the goodput that it costs
// and is a pure function of its Input. Both are not safe for concurrent use; the control goroutine
// owns them.
//
// Other data centres are milliseconds away, so spare capacity there counts before a change is
// considered: gain and cost are worked out over all data centres in reach, and one of them acts.
package roles
