// Package ledger claims keyed requests in the platform's object API, so that each runs at most once.
//
// A Ledger gathers the claims, results and withdrawals of a shard into one conditional update at a
// time, and spaces these updates to stay within the platform's budget of writes. The conditional
// update alone decides who holds a key: any number of ledgers may work on one shard, at the cost
// of conflicts.
package ledger
