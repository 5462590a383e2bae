// Package ledger claims the idempotency keys of requests for an entry host, so that each request runs at
// most once. It reads and writes the pages of package claims, which has the rules for changing them.
//
// A Ledger batches the claims, results and withdrawals of a shard into one conditional update at a
// time, and spaces these updates to stay within the platform's write budget. Only the conditional
// update decides who holds a key: any number of ledgers may write to one shard, at the cost of
// conflicts.
package ledger
