// Package configuration stores the accepted configuration in the platform's object store and brings
// it into force on every entry host.
//
// The items of the configuration are divided into shards, each of which is stored as one object. The
// object config/head is the commit point: it holds the generation, the key and version of each shard,
// and the ids of recent edits. An edit writes its shards under new keys and then updates the head by one
// conditional write, so a shard that no head refers to has no effect. An Editor applies edits. A
// Follower decides, without I/O, what an entry host reads and when. A Runner carries out these decisions
// and publishes snapshots.
package configuration
